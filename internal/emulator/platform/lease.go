package platform

import (
	"net/http"
	"time"

	"samphirestile.example/samphirestile/internal/store"
)

func (p *Platform) grant(_ *http.Request, req store.GrantRequest) (store.GrantReply, *errorReply) {
	if req.TTLMS <= 0 {
		return store.GrantReply{}, newErrorReply(http.StatusBadRequest, store.FaultBadRequest, "ttl_ms must be positive")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextLease++
	p.leases[p.nextLease] = lease{ttl: time.Duration(req.TTLMS) * time.Millisecond, renewed: time.Now()}
	return store.GrantReply{Lease: p.nextLease}, nil
}

func (p *Platform) renew(_ *http.Request, req store.RenewRequest) (store.Empty, *errorReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[req.Lease]
	if !ok {
		return store.Empty{}, newErrorReply(http.StatusNotFound, store.FaultNotFound, "no such lease")
	}
	l.renewed = time.Now()
	p.leases[req.Lease] = l
	return store.Empty{}, nil
}

// runLeaseExpiry removes the leases that were not renewed within their TTL, until Close.
func (p *Platform) runLeaseExpiry() {
	defer close(p.done)
	tick := time.NewTicker(leaseExpiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case now := <-tick.C:
			p.removeLeasesIf(func(l lease, divisor int64) bool { return now.Sub(l.renewed) >= l.ttl/time.Duration(divisor) })
		}
	}
}

// ExpireAllLeases removes all leases and their records, whatever their TTL.
func (p *Platform) ExpireAllLeases() { p.removeLeasesIf(func(lease, int64) bool { return true }) }

// removeLeasesIf removes the leases for which expired returns true, and their records.
// divisor is Faults.LeaseTTLDivisor, but at least 1.
func (p *Platform) removeLeasesIf(expired func(l lease, divisor int64) bool) {
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
