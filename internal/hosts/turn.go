package hosts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/monotonic"
	"samphirestile.example/samphirestile/internal/store"
)

// turnKey holds what a holder leaves to the next one.
const turnKey = "samphirestile/hosts"

// turnRecord tells the next holder which hosts were ordered a moment ago.
type turnRecord struct {
	Token uint64 `json:"token"`
	// Released is set by a planned stop; without it any host may have been ordered.
	Released bool           `json:"released,omitempty"`
	Recent   []fleet.HostID `json:"recent,omitempty"`
}

// takeOver keeps two holders from ordering one host within Turn. After a
// planned stop only the hosts that were ordered last have to wait.
func (m *Manager) takeOver(ctx context.Context) error {
	e, err := m.Store.Get(ctx, turnKey)
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		return fmt.Errorf("read the former holder's orders: %w", err)
	}
	var former turnRecord
	if err == nil {
		if err := json.Unmarshal(e.Value, &former); err != nil {
			m.Log.WithError(err).Error("record of the former holder unreadable")
		}
	}
	if err := m.writeTurn(ctx, turnRecord{Token: m.Holder.Token}); err != nil {
		return err
	}
	if !former.Released {
		monotonic.Sleep(ctx, m.TermGap-m.CommandMargin)
		return nil
	}
	for _, id := range former.Recent {
		m.blocked[id] = monotonic.Now().Add(m.TermGap)
	}
	return nil
}

func (m *Manager) writeTurn(ctx context.Context, r turnRecord) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode orders: %w", err)
	}
	return m.write(ctx, turnKey, value)
}

// Release leaves the latest orders to the next holder. Run must have ended.
func (m *Manager) Release(ctx context.Context) error {
	r := turnRecord{Token: m.Holder.Token, Released: true}
	now := monotonic.Now()
	for id, at := range m.lastOrder {
		if now.Sub(at) < m.TermGap {
			r.Recent = append(r.Recent, id)
		}
	}
	for id, until := range m.blocked {
		if now < until {
			r.Recent = append(r.Recent, id)
		}
	}
	return m.writeTurn(ctx, r)
}

// mayGiveOrder checks that this holder is the only one that orders the host now.
func (m *Manager) mayGiveOrder(id fleet.HostID) error {
	if !m.Valid() {
		return &NotSentError{errNotHolder}
	}
	if monotonic.Now() < m.blocked[id] {
		return &NotSentError{errOtherTurn}
	}
	return nil
}

var errOtherTurn = errors.New("the former holder has ordered the host a moment ago")
