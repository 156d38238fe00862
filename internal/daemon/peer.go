package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/ogen-go/ogen/ogenerrors"

	"samphirestile.example/samphirestile/internal/peerapi"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
)

// peerClients caches one client per peer address.
type peerClients struct {
	mu        sync.Mutex
	byAddress map[string]*oas.Client
}

// peerClient returns the client of a peer. It creates the client on first use and opens no
// connection.
func (d *Daemon) peerClient(address string) (*oas.Client, error) {
	d.peers.mu.Lock()
	defer d.peers.mu.Unlock()
	if c, ok := d.peers.byAddress[address]; ok {
		return c, nil
	}
	c, err := peerapi.NewClient(address, d.secret, d.peerHTTP)
	if err != nil {
		return nil, fmt.Errorf("create client of peer %s: %w", address, err)
	}
	d.peers.byAddress[address] = c
	return c, nil
}

// peerHandler passes each control message to the component that handles it.
type peerHandler struct{ d *Daemon }

var _ oas.Handler = (*peerHandler)(nil)

func (h *peerHandler) Heartbeat(ctx context.Context, r *oas.Heartbeat) (*oas.HeartbeatReply, error) {
	return h.d.membership.Heartbeat(ctx, r)
}

func (h *peerHandler) Consent(ctx context.Context, r *oas.ConsentRequest) (*oas.ConsentReply, error) {
	return h.d.membership.Consent(ctx, r)
}

func (h *peerHandler) Handover(ctx context.Context, r *oas.Handover) (*oas.HandoverReply, error) {
	return h.d.membership.Handover(ctx, r)
}

func (h *peerHandler) Notice(ctx context.Context, r *oas.Notice) error {
	return h.d.config.Notice(ctx, r)
}

func (h *peerHandler) Snapshot(ctx context.Context) (*oas.Snapshot, error) {
	s, err := h.d.config.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	s.Seats = h.d.membership.Seats()
	if h.d.coordinator.HistoryComplete() {
		s.Views = viewsToWire(h.d.coordinator.History())
	}
	return s, nil
}

func (h *peerHandler) Claim(ctx context.Context, r *oas.ClaimRequest) (*oas.ClaimReply, error) {
	return h.d.claimTable.Claim(ctx, r)
}

func (h *peerHandler) Settle(ctx context.Context, r *oas.SettleRequest) error {
	return h.d.claimTable.Settle(ctx, r)
}

// NewError implements oas.Handler.
func (h *peerHandler) NewError(_ context.Context, err error) *oas.FailureStatusCode {
	status, code := http.StatusInternalServerError, "internal"
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		status, code = http.StatusUnauthorized, "unauthorized"
	}
	return &oas.FailureStatusCode{StatusCode: status, Response: oas.Failure{Code: code, Detail: err.Error()}}
}
