package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"samphirestile.example/samphirestile/internal/problem"
)

// Limits of the service listener.
const (
	// MaxHeaderBytes limits a request header; net/http allows 4 KB more.
	MaxHeaderBytes = 32 << 10
	// DefaultReadHeaderTimeout is the time within which a request header must arrive.
	DefaultReadHeaderTimeout = 10 * time.Second
	// DefaultIdleTimeout exceeds the usual 60 s of load balancers, so that the load balancer
	// and not the daemon closes idle connections.
	DefaultIdleTimeout = 75 * time.Second
)

// ServerOptions holds the timeouts of the service listener; 0 means the default.
type ServerOptions struct {
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// Observer is notified of requests that are refused before a handler runs; it may be nil.
	Observer Observer
}

type connKey struct{}

// NewServer returns the HTTP server of the service listener. Its Serve method must be called
// with a listener returned by WrapListener.
func NewServer(h http.Handler, o ServerOptions) *http.Server {
	if o.ReadHeaderTimeout <= 0 {
		o.ReadHeaderTimeout = DefaultReadHeaderTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c, ok := r.Context().Value(connKey{}).(*serviceConn); ok && c.beginRequest() {
				w.Header().Set("Connection", "close")
				p := badRequest("the request has both Content-Length and Transfer-Encoding")
				observeRefusal(o.Observer, r.Method, p)
				problem.Write(w, p, "")
				return
			}
			h.ServeHTTP(w, r)
		}),
		MaxHeaderBytes:    MaxHeaderBytes,
		ReadHeaderTimeout: o.ReadHeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if sc, ok := c.(*serviceConn); ok {
				sc.observer = o.Observer
			}
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if sc, ok := c.(*serviceConn); ok && s == http.StateIdle {
				sc.endResponse()
			}
		},
		DisableGeneralOptionsHandler: true,
		// net/http logs client errors here, which do not indicate a fault of the daemon.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func observeRefusal(o Observer, method string, p *problem.Error) {
	if o != nil {
		o.RequestFinished(FinishedRequest{Method: method, Status: p.Status, Code: p.Code, Outcome: p.Outcome, Reason: p.Error()})
	}
}

// WrapListener returns a listener whose connections send a problem response where net/http,
// before a handler runs, would send plain text or nothing.
func WrapListener(l net.Listener) net.Listener { return &serviceListener{l} }

type serviceListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *serviceListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &serviceConn{Conn: c}, nil
}
