package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"samphirestile.example/samphirestile/internal/forward"
	"samphirestile.example/samphirestile/internal/gateway"
	"samphirestile.example/samphirestile/internal/httpserver"
	"samphirestile.example/samphirestile/internal/intake"
	"samphirestile.example/samphirestile/internal/peerapi/oas"
	"samphirestile.example/samphirestile/internal/settings"
)

const (
	// maxControlHeaderBytes bounds headers on the peer and operator listeners. It is
	// above the gateway's limit because a forwarded request carries the caller's header.
	maxControlHeaderBytes = 2 * gateway.MaxHeaderBytes
	// maxControlBodyBytes bounds a control message; a handover carries all claims of its daemon.
	maxControlBodyBytes = 64 << 20
	readHeaderTimeout   = 10 * time.Second
	// controlIdleTimeout is the idle timeout on the peer and operator listeners. It is longer
	// than the idle timeouts of the clients of peers, peerIdleTimeout and
	// upstream.PeerIdleTimeout, so that the client and not the server closes idle connections.
	controlIdleTimeout = 2 * time.Minute
)

// servers are the HTTP servers of the three interfaces of a daemon.
type servers struct {
	service, peer, operator *httpserver.Server
	serveErrors             chan error
}

// Run serves until ctx is cancelled or a server fails, then performs a planned stop. It
// returns nil if no server failed and the stop aborted no request.
func (d *Daemon) Run(ctx context.Context) error {
	intake.LimitMemory(d.settings.MemoryMB << 20)
	srv, err := d.listen()
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.start(runCtx)
	d.log.WithFields(map[string]any{"daemon": d.settings.DaemonID, "service_address": d.settings.ServiceAddress}).Info("daemon started")

	var serveErr error
	select {
	case <-ctx.Done():
	case serveErr = <-srv.serveErrors:
	}
	stopErr := d.stop(srv)
	cancel()
	d.background.Wait()
	d.scheduler.Close()
	d.coordinator.Close()
	return errors.Join(serveErr, stopErr, d.metrics.Close())
}

func (d *Daemon) start(ctx context.Context) {
	if d.cellIsEmpty(ctx) {
		// No earlier view exists in which a key could have been claimed.
		d.coordinator.LoadHistory(nil)
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
func (d *Daemon) listen() (*servers, error) {
	s := d.settings
	peerAPI, err := oas.NewServer(&peerHandler{d}, d.secret)
	if err != nil {
		return nil, fmt.Errorf("create peer server: %w", err)
	}
	operator, err := d.operatorHandler()
	if err != nil {
		return nil, err
	}
	bounds := intake.ForMachine(s.MemoryMB<<20, s.FileDescriptors, s.Intake, d.metrics.Scope(), d.log)
	serviceOptions := intake.Options{
		Part: intake.Clients, HeadBytes: cmp.Or(s.Intake.HeadBytes, gateway.MaxHeaderBytes), Response: gateway.RefusalResponse,
		Streams: func(*http.Request) int64 { return forward.MaxBufferedBodyBytes },
	}
	// A forwarded request carries the caller's header.
	controlHeadBytes := max(2*s.Intake.HeadBytes, maxControlHeaderBytes)
	peerOptions := intake.Options{Part: intake.Peers, HeadBytes: controlHeadBytes, Streams: func(r *http.Request) int64 {
		if forward.IsForwarded(r) {
			return forward.MaxBufferedBodyBytes
		}
		return 0
	}}
	operatorOptions := intake.Options{Part: intake.Control, HeadBytes: controlHeadBytes}
	srv := &servers{
		service:     httpserver.New(bounds.Wrap(gateway.NewServer(d.gateway, gateway.ServerOptions{Observer: d.requestRecorder}), serviceOptions)),
		peer:        httpserver.New(bounds.Wrap(controlServer(d.forwardServer.Wrap(http.MaxBytesHandler(peerAPI, maxControlBodyBytes))), peerOptions)),
		operator:    httpserver.New(bounds.Wrap(controlServer(d.operatorMux(operator)), operatorOptions)),
		serveErrors: make(chan error, 3),
	}
	var opened []net.Listener
	for _, address := range []string{s.ServiceAddress, s.PeerAddress, s.OperatorAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, o := range opened {
				_ = o.Close()
			}
			return nil, fmt.Errorf("open the listeners: %w", err)
		}
		opened = append(opened, listener)
	}
	srv.serve(srv.service, gateway.WrapListener(bounds.Listener(srv.service.Listener(opened[0]), serviceOptions)))
	srv.serve(srv.peer, bounds.Listener(d.traffic.Listener(srv.peer.Listener(opened[1])), peerOptions))
	srv.serve(srv.operator, bounds.Listener(srv.operator.Listener(opened[2]), operatorOptions))
	return srv, nil
}

func controlServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: controlIdleTimeout}
}

func (srv *servers) serve(s *httpserver.Server, listener net.Listener) {
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			srv.serveErrors <- fmt.Errorf("serve %s: %w", listener.Addr(), err)
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
func (d *Daemon) stop(srv *servers) error {
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
	record := func(what string, err error) {
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", what, err))
		}
	}
	record("shut down the service listener", srv.service.Shutdown(stopCtx))
	record("drain", d.membership.WaitDrained(stopCtx))
	// Peers with an older view still forward requests to this daemon. The peer listener stays
	// open, so that they get a response instead of a closed connection.
	d.sleep(stopCtx, settings.Duration(d.settings.FailureMS+d.settings.HeartbeatMS))
	record("shut down the peer listener", srv.peer.Shutdown(stopCtx))
	record("drain", d.membership.WaitDrained(stopCtx))
	record("shut down the operator listener", srv.operator.Shutdown(stopCtx))
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
