package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"samphirestile.example/samphirestile/internal/gateway"
	"samphirestile.example/samphirestile/internal/httpserver"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/settings"
)

const (
	// maxControlHeaderBytes bounds headers on the peer and operator listeners. It is
	// above the gateway's limit because a forwarded request carries the caller's header.
	maxControlHeaderBytes = 2 * gateway.MaxHeaderBytes
	readHeaderTimeout     = 10 * time.Second
	// peerServerIdleTimeout is longer than the idle timeouts of the clients of peers,
	// peerIdleTimeout and upstream.PeerIdleTimeout, so that the client and not the server
	// closes idle connections.
	peerServerIdleTimeout = 2 * time.Minute
)

// listeners are the servers of the three interfaces of a daemon.
type listeners struct {
	service, peer, operator *httpserver.Server
	serveErrors             chan error
}

// Run serves until ctx is cancelled, then performs a planned stop. It returns nil if
// the stop aborted no request.
func (d *Daemon) Run(ctx context.Context) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.start(running)
	d.log.WithFields(map[string]any{"daemon": d.settings.DaemonID, "service_address": d.settings.ServiceAddress}).Info("daemon started")

	var serveErr error
	select {
	case <-ctx.Done():
	case serveErr = <-l.serveErrors:
	}
	stopErr := d.stop(l)
	cancel()
	d.background.Wait()
	d.scheduler.Close()
	d.claimer.Close()
	return errors.Join(serveErr, stopErr, d.metrics.Close())
}

func (d *Daemon) start(ctx context.Context) {
	if d.cellIsEmpty(ctx) {
		// No earlier view exists in which a key could have been claimed.
		d.claimer.LoadHistory(nil)
	}
	d.runInBackground(ctx, d.config.Run)
	d.runInBackground(ctx, func(ctx context.Context) { _ = d.membership.Run(ctx) })
	d.runInBackground(ctx, func(ctx context.Context) { _ = d.allotments.Run(ctx) })
	d.runInBackground(ctx, d.trackTeamRows)
	d.runInBackground(ctx, d.trackOwnership)
	d.runInBackground(ctx, d.trackReadiness)
	d.runInBackground(ctx, d.loadSeatsFromPeers)
	d.runInBackground(ctx, d.loadViewHistory)
	d.runInBackground(ctx, d.reportMetrics)
}

// listen opens all listeners before serving any, so that an address conflict fails
// the start.
func (d *Daemon) listen() (*listeners, error) {
	s := d.settings
	peerAPI, err := oas.NewServer(&peerHandler{d}, d.secret)
	if err != nil {
		return nil, fmt.Errorf("create peer server: %w", err)
	}
	operator, err := d.operatorHandler()
	if err != nil {
		return nil, err
	}
	l := &listeners{
		service:     httpserver.New(gateway.NewServer(d.gateway, gateway.ServerOptions{Observer: d.requestRecorder})),
		peer:        controlServer(d.forwardServer.Wrap(peerAPI)),
		operator:    controlServer(d.operatorMux(operator)),
		serveErrors: make(chan error, 3),
	}
	var opened []net.Listener
	for _, address := range []string{s.ServiceAddress, s.PeerAddress, s.OperatorAddress} {
		n, err := net.Listen("tcp", address)
		if err != nil {
			for _, o := range opened {
				_ = o.Close()
			}
			return nil, fmt.Errorf("listen: %w", err)
		}
		opened = append(opened, n)
	}
	l.serve(l.service, gateway.WrapListener(l.service.Listener(opened[0])))
	l.serve(l.peer, d.traffic.Listener(l.peer.Listener(opened[1])))
	l.serve(l.operator, l.operator.Listener(opened[2]))
	return l, nil
}

func controlServer(h http.Handler) *httpserver.Server {
	return httpserver.New(&http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       peerServerIdleTimeout,
		MaxHeaderBytes:    maxControlHeaderBytes,
	})
}

func (l *listeners) serve(s *httpserver.Server, n net.Listener) {
	go func() {
		if err := s.Serve(n); !errors.Is(err, http.ErrServerClosed) {
			l.serveErrors <- fmt.Errorf("serve %s: %w", n.Addr(), err)
		}
	}()
}

// operatorMux adds metrics and profiling to the operator interface.
func (d *Daemon) operatorMux(api http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", api)
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.Handle("GET /debug/pprof/", d.requireOperator(http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", d.requireOperator(http.HandlerFunc(pprof.Profile)))
	mux.Handle("GET /debug/pprof/trace", d.requireOperator(http.HandlerFunc(pprof.Trace)))
	return mux
}

// stop performs the planned stop: it fails the readiness check for the load balancer,
// hands over the seats, drains requests in flight and closes the listeners.
func (d *Daemon) stop(l *listeners) error {
	stopCtx, cancel := context.WithTimeout(context.Background(), settings.Duration(d.settings.StopMS))
	defer cancel()
	d.log.Info("planned stop started")
	d.gateway.SetReady(false)
	d.forwardServer.SetLeaving(true)
	d.sleep(stopCtx, settings.Duration(d.settings.GraceMS))

	var failures []error
	if err := d.membership.Leave(stopCtx); err != nil {
		failures = append(failures, fmt.Errorf("leave the cell: %w", err))
	}
	step := func(what string, err error) {
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", what, err))
		}
	}
	step("shut down the service listener", l.service.Shutdown(stopCtx))
	step("drain", d.membership.WaitDrained(stopCtx))
	// Peers with an older view still forward requests to this daemon; they need a
	// response rather than a closed connection.
	d.sleep(stopCtx, settings.Duration(d.settings.FailureMS+d.settings.HeartbeatMS))
	step("shut down the peer listener", l.peer.Shutdown(stopCtx))
	step("drain", d.membership.WaitDrained(stopCtx))
	step("shut down the operator listener", l.operator.Shutdown(stopCtx))
	d.log.WithField("problems", len(failures)).Info("planned stop finished")
	return errors.Join(failures...)
}

func (d *Daemon) sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
