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

// termKey is the key of the record that a holder leaves to its successor.
const termKey = "samphirestile/hosts"

// termRecord lists, for the next holder, the hosts to which a command was recently sent.
type termRecord struct {
	Token uint64 `json:"token"`
	// Released is set by a planned stop; without it a command may have been sent to any host.
	Released bool           `json:"released,omitempty"`
	Recent   []fleet.HostID `json:"recent,omitempty"`
}

// takeOver ensures that two holders do not issue commands to the same host within
// TermGap. After a planned stop only the hosts with recent commands have to wait.
//
// A lease can end early: when the process starts again and revokes the lease of its predecessor, or
// when the store loses it. The full gap is therefore waited for. The time at the end of a
// lease in which no command is sent is left for the last commands to arrive.
func (m *Manager) takeOver(ctx context.Context) error {
	e, err := m.Store.Get(ctx, termKey)
	if err != nil && !errors.As(err, new(*store.NotFoundError)) {
		return fmt.Errorf("read term record of the previous holder: %w", err)
	}
	var former termRecord
	if err == nil {
		if err := json.Unmarshal(e.Value, &former); err != nil {
			m.Log.WithError(err).Error("cannot decode term record of the previous holder; waiting the full gap between terms")
		}
	}
	if former.Token == m.Holder.Token && m.former != nil {
		// The response to the write below was lost.
		former = *m.former
	}
	m.former = &former
	if err := m.writeTerm(ctx, termRecord{Token: m.Holder.Token}); err != nil {
		return err
	}
	if !former.Released {
		monotonic.Sleep(ctx, m.TermGap)
		if ctx.Err() != nil {
			return fmt.Errorf("wait for the gap between terms: %w", ctx.Err())
		}
	}
	for _, id := range former.Recent {
		m.blocked[id] = monotonic.Now().Add(m.TermGap)
	}
	m.takenOver = true
	return nil
}

func (m *Manager) writeTerm(ctx context.Context, r termRecord) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode term record: %w", err)
	}
	return m.write(ctx, termKey, value)
}

// Release records the recent commands for the next holder. Run must have returned. A holder that has
// not taken over records nothing, because the commands of its predecessor still count.
func (m *Manager) Release(ctx context.Context) error {
	if !m.takenOver {
		return nil
	}
	r := termRecord{Token: m.Holder.Token, Released: true}
	now := monotonic.Now()
	for id, at := range m.lastCommand {
		if now.Sub(at) < m.TermGap {
			r.Recent = append(r.Recent, id)
		}
	}
	for id, until := range m.blocked {
		if now < until {
			r.Recent = append(r.Recent, id)
		}
	}
	return m.writeTerm(ctx, r)
}

// checkCommandAllowed returns an error unless this holder may issue a command to the
// host now. The end of ctx is the end of the role.
func (m *Manager) checkCommandAllowed(ctx context.Context, id fleet.HostID) error {
	if ctx.Err() != nil || !m.Valid() {
		return &NoEffectError{errNotHolder}
	}
	if monotonic.Now() < m.blocked[id] {
		return &NoEffectError{errRecentCommand}
	}
	return nil
}

var errRecentCommand = errors.New("the previous holder issued a command to the host less than the gap between terms ago")
