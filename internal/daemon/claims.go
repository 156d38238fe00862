package daemon

import (
	"context"
	"slices"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/idempotency"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

// claimTransfer transfers the claims of idempotency keys together with a seat. The
// whole table is exported, because a claim that the successor does not need is harmless.
type claimTransfer struct{ d *Daemon }

var _ membership.Claims = (*claimTransfer)(nil)

func (c *claimTransfer) ExportClaims(fleet.SeatID) []oas.Claim { return c.d.claimTable.Export() }

func (c *claimTransfer) ImportClaims(_ fleet.SeatID, claims []oas.Claim) {
	c.d.claimTable.Import(claims)
}

// FinishExport forwards later claims to the successor when this daemon stops. A
// daemon that transferred only one seat keeps serving claims for its other seats. Each
// key has a second home daemon (see package idempotency), which prevents this daemon
// and the successor from both granting it.
func (c *claimTransfer) FinishExport(peerAddress string, leaving bool) {
	if peerAddress == "" {
		c.d.recordAbandonedClaims()
	}
	if !leaving || peerAddress == "" {
		c.d.claimTable.Resume()
		return
	}
	successor, err := c.d.peerClient(peerAddress)
	if err != nil {
		c.d.log.WithError(err).WithField("peer", peerAddress).Error("cannot create a client of the successor; later claims are not forwarded")
		return
	}
	c.d.claimTable.MoveTo(successor)
}

const (
	// abandonedPrefix is the prefix of records that claims without a successor leave behind.
	abandonedPrefix = "idempotency/abandoned/"
	// abandonedTTL exceeds the retention of claims by the time that the release of a seat takes.
	abandonedTTL = idempotency.Retention + time.Minute
	// recordAbandonedTimeout bounds the delay of a planned stop.
	recordAbandonedTimeout = 2 * time.Second
)

// recordAbandonedClaims records for the retention of claims that some were lost, before the
// last seat of the cell is deleted from the store.
//
// Fault: after a planned stop of all daemons the store holds no seat, and the first daemon that starts
// again would take the cell for new and grant keys that have been used.
func (d *Daemon) recordAbandonedClaims() {
	if d.claimTable.Len() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordAbandonedTimeout)
	defer cancel()
	lease, err := d.store.Grant(ctx, abandonedTTL)
	if err == nil {
		// The key is unique, so a repeated call only adds a record.
		_, err = d.store.Put(ctx, abandonedPrefix+newIncarnation(), []byte(d.settings.DaemonID), 0, lease)
	}
	if err != nil {
		d.log.WithError(err).Error("loss of the claims of idempotency keys not recorded; if the whole cell stops, used keys may be granted again")
	}
}

// holdsSeat reports whether this process holds a seat.
func (d *Daemon) holdsSeat(seat fleet.SeatID) bool {
	return slices.ContainsFunc(d.membership.View().Members, func(m membership.Member) bool { return m.Self && m.Seat == seat })
}

// cellIsEmpty reports whether the store holds no seat and no record of lost claims. It must be
// called before this daemon creates a seat.
func (d *Daemon) cellIsEmpty(ctx context.Context) bool {
	for _, prefix := range []string{membership.SeatPrefix, abandonedPrefix} {
		entries, _, err := d.store.List(ctx, prefix)
		if err != nil || len(entries) > 0 {
			return false
		}
	}
	return true
}

// loadViewHistory fetches the recent views of the cell from a peer; no claim is
// granted before they are known.
func (d *Daemon) loadViewHistory(ctx context.Context) {
	for ctx.Err() == nil && !d.coordinator.HistoryComplete() {
		for _, address := range append(d.memberAddresses(), d.settings.Peers...) {
			if d.fetchViewHistory(ctx, address) {
				return
			}
		}
		d.sleep(ctx, peerFetchInterval)
	}
}

func (d *Daemon) fetchViewHistory(ctx context.Context, address string) bool {
	if address == d.settings.AdvertisePeerAddress {
		return false
	}
	client, err := d.peerClient(address)
	if err != nil {
		return false
	}
	snapshot, err := client.Snapshot(ctx)
	if err != nil || snapshot.Views == nil {
		return false
	}
	d.coordinator.LoadHistory(viewsFromWire(snapshot.Views))
	return true
}

func viewsToWire(views []idempotency.ViewRecord) []oas.PastView {
	out := make([]oas.PastView, 0, len(views))
	for _, v := range views {
		w := oas.PastView{AgeMs: v.AgeMS, Seats: make([]string, 0, len(v.Seats))}
		for _, seat := range v.Seats {
			w.Seats = append(w.Seats, string(seat))
		}
		out = append(out, w)
	}
	return out
}

func viewsFromWire(views []oas.PastView) []idempotency.ViewRecord {
	out := make([]idempotency.ViewRecord, 0, len(views))
	for _, w := range views {
		v := idempotency.ViewRecord{AgeMS: w.AgeMs}
		for _, seat := range w.Seats {
			v.Seats = append(v.Seats, fleet.SeatID(seat))
		}
		out = append(out, v)
	}
	return out
}
