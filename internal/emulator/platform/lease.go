package platform

import (
	"net/http"
	"time"

	protocol "samphirestile.example/samphirestile/internal/store"
)

func (p *Platform) grant(_ *http.Request, q protocol.GrantRequest) (protocol.GrantReply, *fault) {
	if q.TTLMS <= 0 {
		return protocol.GrantReply{}, newFault(http.StatusBadRequest, protocol.FaultBadRequest, "ttl_ms must be positive")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextLease++
	p.leases[p.nextLease] = lease{ttl: time.Duration(q.TTLMS) * time.Millisecond, renewed: time.Now()}
	return protocol.GrantReply{Lease: p.nextLease}, nil
}

func (p *Platform) renew(_ *http.Request, q protocol.RenewRequest) (protocol.Empty, *fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[q.Lease]
	if !ok {
		return protocol.Empty{}, newFault(http.StatusNotFound, protocol.FaultNotFound, "no such lease")
	}
	l.renewed = time.Now()
	p.leases[q.Lease] = l
	return protocol.Empty{}, nil
}

func (p *Platform) expireLeases() {
	defer close(p.done)
	tick := time.NewTicker(leaseTick)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-tick.C:
			p.removeLeases(func(l lease, divisor int64) bool { return now.Sub(l.renewed) >= l.ttl/time.Duration(divisor) })
		}
	}
}

// ExpireAllLeases ends all leases now.
func (p *Platform) ExpireAllLeases() { p.removeLeases(func(lease, int64) bool { return true }) }

func (p *Platform) removeLeases(expired func(l lease, divisor int64) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.leases {
		if !expired(l, max(p.faults.LeaseTTLDivisor, 1)) {
			continue
		}
		delete(p.leases, id)
		for key, rec := range p.records {
			if rec.lease == id {
				p.delete(key)
			}
		}
	}
}
