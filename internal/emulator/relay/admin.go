package relay

import (
	"encoding/json"
	"net/http"
)

// Admin returns a handler that controls the relay: GET and PUT /switches, PUT
// /switches/{source}, POST /cut and POST /half-close?direction=up|down.
func (r *Relay) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /switches", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the reader left.
		_ = json.NewEncoder(w).Encode(r.Switches())
	})
	mux.HandleFunc("PUT /switches", r.putSwitches)
	mux.HandleFunc("PUT /switches/{source}", r.putSwitches)
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, q *http.Request) {
		r.ResetConnections(q.URL.Query().Get("source"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /half-close", func(w http.ResponseWriter, q *http.Request) {
		r.HalfClose(q.URL.Query().Get("direction") != "down")
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (r *Relay) putSwitches(w http.ResponseWriter, q *http.Request) {
	var s Switches
	dec := json.NewDecoder(q.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if source := q.PathValue("source"); source != "" {
		r.SetFor(source, s)
	} else if err := r.Set(s); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
