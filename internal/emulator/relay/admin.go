package relay

import (
	"encoding/json"
	"net/http"
)

// Admin returns the handler of the admin interface: GET and PUT /switches, PUT
// /switches/{source}, POST /cut?source=NAME, which resets connections, and POST
// /half-close?direction=up|down.
func (r *Relay) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /switches", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write fails only when the client has disconnected.
		_ = json.NewEncoder(w).Encode(r.Switches())
	})
	mux.HandleFunc("PUT /switches", r.putSwitches)
	mux.HandleFunc("PUT /switches/{source}", r.putSwitches)
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, req *http.Request) {
		r.ResetConnections(req.URL.Query().Get("source"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /half-close", func(w http.ResponseWriter, req *http.Request) {
		r.HalfClose(req.URL.Query().Get("direction") != "down")
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (r *Relay) putSwitches(w http.ResponseWriter, req *http.Request) {
	var switches Switches
	dec := json.NewDecoder(req.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&switches); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if source := req.PathValue("source"); source != "" {
		r.SetFor(source, switches)
	} else if err := r.Set(switches); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
