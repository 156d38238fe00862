package endpoint

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// adminHandler returns the handler of the admin interface: PUT and GET of settings and
// faults, GET of events (JSON lines, optionally after=N), counts and status.
func (e *Endpoint) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+AdminPrefix+"settings", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		s := e.settings
		e.mu.Unlock()
		writeJSON(w, s)
	})
	mux.HandleFunc("PUT "+AdminPrefix+"settings", e.putSettings)
	mux.HandleFunc("GET "+AdminPrefix+"faults", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		f := e.faults
		e.mu.Unlock()
		writeJSON(w, f)
	})
	mux.HandleFunc("PUT "+AdminPrefix+"faults", e.putFaults)
	mux.HandleFunc("GET "+AdminPrefix+"events", e.getEvents)
	mux.HandleFunc("GET "+AdminPrefix+"counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	mux.HandleFunc("GET "+AdminPrefix+"status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Status()) })
	return mux
}

func (e *Endpoint) putSettings(w http.ResponseWriter, r *http.Request) {
	var s Settings
	if !readJSON(w, r, &s) {
		return
	}
	if err := e.Configure(s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (e *Endpoint) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if readJSON(w, r, &f) {
		e.SetFaults(f)
	}
}

func (e *Endpoint) getEvents(w http.ResponseWriter, r *http.Request) {
	// A missing or malformed position means the first event.
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	enc := json.NewEncoder(w)
	for _, ev := range e.recorder.Events(max(after, 0)) {
		if enc.Encode(ev) != nil {
			return
		}
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only when the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
