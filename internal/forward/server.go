package forward

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/problem"
	"samphirestile.example/samphirestile/internal/upstream"
)

// Server is the server side of the peer hop.
type Server struct {
	options     Options
	idleTimeout time.Duration
	leaving     atomic.Bool
}

// NewServer returns the handler of forwarded requests. idle limits the time between two
// reads or writes of a body; 0 means upstream.DefaultBodyIdleTimeout.
func NewServer(o Options, idle time.Duration) *Server {
	if idle <= 0 {
		idle = upstream.DefaultBodyIdleTimeout
	}
	return &Server{options: o, idleTimeout: idle}
}

// SetLeaving makes the server close each connection after the next response, so that peers
// do not send a request on a connection that is about to be closed.
func (s *Server) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// IsForwarded reports whether Wrap passes the request to the Server.
func IsForwarded(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, PathPrefix) }

// Wrap returns a handler that serves forwarded requests and passes all others to next.
// http.ServeMux is not suitable here, because it redirects unclean paths.
func (s *Server) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if IsForwarded(r) {
			s.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	body, err := NewIdleReader(w, r, s.idleTimeout)
	if err != nil {
		s.writeProblem(w, r, &attemptError{Error: problem.From(err)})
		return
	}
	defer body.Close()
	resp, failure := s.serve(w, r, body)
	body.BeforeHeader(w.Header())
	if failure != nil {
		s.writeProblem(w, r, failure)
		return
	}
	defer resp.Close()
	s.setLoadHeader(w, r)
	w.Header().Set(headerAnsweredBy, answeredByEndpoint)
	if _, err := CopyResponse(w, resp, s.idleTimeout); err != nil {
		resp.Close()
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, body *IdleReader) (*upstream.Response, *attemptError) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !s.options.Secret.Matches(token) {
		return nil, &attemptError{Error: problem.New(problem.CodeKeyRejected, http.StatusUnauthorized, "forwarded request without the cell secret")}
	}
	id, target, ok := SplitPath(r.URL, PathPrefix)
	if !ok {
		return nil, &attemptError{Error: problem.New(problem.CodeBadRequest, http.StatusBadRequest, "forwarded request without a service")}
	}
	snapshot := s.options.Config.Current()
	if snapshot == nil {
		return nil, &attemptError{Error: notOwner("the owner has no configuration yet")}
	}
	service, ok := snapshot.Services[id]
	if !ok {
		return nil, &attemptError{Error: notOwner("the owner does not know the service yet")}
	}
	request, p := readHopHeaders(r.Header, id, time.Now())
	if p != nil {
		return nil, &attemptError{Error: p}
	}
	header := r.Header.Clone()
	header.Del("Authorization")
	header.Del("Expect")
	upstream.StripHopByHop(header)
	upstream.StripInternalHeaders(header)
	out := upstream.Request{
		ID: request.ID, Method: r.Method, URL: target, Host: r.Host, Header: header, Length: r.ContentLength,
		Informational: InformationalWriter(w),
	}
	if r.ContentLength != 0 {
		out.Body = body
		out.Streamed = r.ContentLength < 0 || r.ContentLength > MaxBufferedBodyBytes
	}
	return acquireAndSend(r.Context(), s.options, service, request, out)
}

func (s *Server) writeProblem(w http.ResponseWriter, r *http.Request, failure *attemptError) {
	h := w.Header()
	s.setLoadHeader(w, r)
	h.Set(headerAnsweredBy, answeredByDaemon)
	if failure.endpoint != "" {
		h.Set(headerEndpoint, string(failure.endpoint))
	}
	problem.Write(w, failure.Error, r.Header.Get(problem.HeaderRequestID))
}

func (s *Server) setLoadHeader(w http.ResponseWriter, r *http.Request) {
	id, _, ok := SplitPath(r.URL, PathPrefix)
	if !ok || s.options.Dispatcher == nil {
		return
	}
	if l, ok := s.options.Dispatcher.Load(id); ok {
		var team *TeamLoad
		if s.options.LocalTeamLoad != nil {
			t := s.options.LocalTeamLoad(fleet.TeamID(r.Header.Get(headerTeam)))
			team = &t
		}
		w.Header().Set(problem.HeaderLoad, FormatLoad(l, team))
	}
}

// InformationalWriter returns a function that sends 1xx responses to w.
func InformationalWriter(w http.ResponseWriter) func(int, http.Header) {
	return func(status int, header http.Header) {
		h := w.Header()
		for name, values := range header {
			h[name] = values
		}
		w.WriteHeader(status)
		for name := range header {
			h.Del(name)
		}
	}
}

// SplitPath splits the path after prefix into the service and the URL for the endpoint. It
// preserves the escaping of the path.
func SplitPath(u *url.URL, prefix string) (fleet.ServiceID, *url.URL, bool) {
	raw, ok := strings.CutPrefix(u.EscapedPath(), prefix)
	if !ok {
		return "", nil, false
	}
	name, rest, _ := strings.Cut(raw, "/")
	service, err := url.PathUnescape(name)
	if err != nil || service == "" {
		return "", nil, false
	}
	rest = "/" + rest
	path, err := url.PathUnescape(rest)
	if err != nil {
		return "", nil, false
	}
	return fleet.ServiceID(service), &url.URL{Path: path, RawPath: rest, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}, true
}
