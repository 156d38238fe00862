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
	// maxControlHeaderBytes bounds headers on the peer and operator listeners. A
	// forwarded request carries the caller's header.
	maxControlHeaderBytes = 2 * gateway.MaxHeaderBytes
	readHeaderTimeout     = 10 * time.Second
	// peerServerIdle is longer than the idle time of peers' clients, so that the
	// client and not the server closes idle connections.
	peerServerIdle = 2 * time.Minute
)

// listeners are the three interfaces of a daemon.
type listeners struct {
	service, peer, operator *httpserver.Server
	failed                  chan error
}

// Run serves until ctx ends, then performs a planned stop. It returns nil when
// the stop cut no request.
func (d *Daemon) Run(ctx context.Context) error {
	l, err := d.listen()
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.start(running)
	d.log.WithFields(map[string]any{"daemon": d.settings.DaemonID, "service_address": d.settings.ServiceAddress}).Info("daemon started")

	var failure error
	select {
	case <-ctx.Done():
	case failure = <-l.failed:
	}
	stopErr := d.stop(l)
	cancel()
	d.background.Wait()
	d.scheduler.Close()
	d.claimer.Close()
	return errors.Join(failure, stopErr, d.metrics.Close())
}

func (d *Daemon) start(ctx context.Context) {
	if d.isFirstOfCell(ctx) {
		// There are no earlier views under which a key could have been claimed.
		d.claimer.LoadHistory(nil)
	}
	d.goRun(ctx, d.config.Run)
	d.goRun(ctx, func(ctx context.Context) { _ = d.membership.Run(ctx) })
	d.goRun(ctx, func(ctx context.Context) { _ = d.allotments.Run(ctx) })
	d.goRun(ctx, d.followRows)
	d.goRun(ctx, d.followOwnership)
	d.goRun(ctx, d.followReadiness)
	d.goRun(ctx, d.learnSeatsFromPeers)
	d.goRun(ctx, d.learnViewHistory)
	d.goRun(ctx, d.reportMetrics)
}

// listen opens all listeners before anything is served, so that a clash of
// addresses ends the start.
func (d *Daemon) listen() (*listeners, error) {
	s := d.settings
	peerAPI, err := oas.NewServer(&peerHandler{d}, d.secret)
	if err != nil {
		return nil, fmt.Errorf("peer interface: %w", err)
	}
	operator, err := d.operatorHandler()
	if err != nil {
		return nil, err
	}
	l := &listeners{
		service:  httpserver.New(gateway.NewServer(d.gateway, gateway.ServerOptions{Observer: d.requestLog})),
		peer:     controlServer(d.peerSide.Wrap(peerAPI)),
		operator: controlServer(d.operatorMux(operator)),
		failed:   make(chan error, 3),
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
		IdleTimeout:       peerServerIdle,
		MaxHeaderBytes:    maxControlHeaderBytes,
	})
}

func (l *listeners) serve(s *httpserver.Server, n net.Listener) {
	go func() {
		if err := s.Serve(n); !errors.Is(err, http.ErrServerClosed) {
			l.failed <- fmt.Errorf("serve %s: %w", n.Addr(), err)
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

// stop performs the planned stop: the load balancer is told, the seats are
// handed over, requests in flight end, and the listeners close.
func (d *Daemon) stop(l *listeners) error {
	limit, cancel := context.WithTimeout(context.Background(), settings.Duration(d.settings.StopMS))
	defer cancel()
	d.log.Info("planned stop began")
	d.gateway.SetReady(false)
	d.peerSide.SetLeaving(true)
	d.sleep(limit, settings.Duration(d.settings.GraceMS))

	var problems []error
	if err := d.membership.Leave(limit); err != nil {
		problems = append(problems, fmt.Errorf("leave: %w", err))
	}
	step := func(what string, err error) {
		if err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", what, err))
		}
	}
	step("shut down the service listener", l.service.Shutdown(limit))
	step("drain", d.membership.WaitDrained(limit))
	// Peers with an older view still forward requests here; they must find an
	// answer and not a closed connection.
	d.sleep(limit, settings.Duration(d.settings.FailureMS+d.settings.HeartbeatMS))
	step("shut down the peer listener", l.peer.Shutdown(limit))
	step("drain", d.membership.WaitDrained(limit))
	step("shut down the operator listener", l.operator.Shutdown(limit))
	d.log.WithField("problems", len(problems)).Info("planned stop ended")
	return errors.Join(problems...)
}

func (d *Daemon) sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
