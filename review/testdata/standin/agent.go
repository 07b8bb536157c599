package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is an entry of discovery's list.
type server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// list is one JSON object of discovery.
type list struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

// agent is a stand-in of discovery's agent. It knows all changes from the first one on.
type agent struct {
	listener net.Listener
	log      *record

	mu      sync.Mutex
	servers []server
	changes []list // by version, from 2 on; version 1 is the whole list
	changed chan struct{}
}

func newAgent(log *record, servers []server) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{listener: listener, log: log, servers: servers, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.serve)
	go http.Serve(listener, mux)
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// whole returns the whole list.
func (a *agent) whole() list {
	a.mu.Lock()
	defer a.mu.Unlock()
	return list{Version: 1 + len(a.changes), Full: true, Servers: append([]server(nil), a.servers...)}
}

// after returns the changes after a version, and a channel that is closed at the next change.
func (a *agent) after(version int) ([]list, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version < 1 || version > 1+len(a.changes) {
		return nil, a.changed
	}
	return append([]list(nil), a.changes[version-1:]...), a.changed
}

// serve answers one call: the whole list, or a watch that tells each change at once and an empty line every 2 s.
func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	whole := a.whole()
	if r.URL.Query().Get("watch") != "1" {
		json.NewEncoder(w).Encode(whole)
		return
	}
	version, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || version < 1 || version > whole.Version {
		json.NewEncoder(w).Encode(whole)
		version = whole.Version
	}
	flusher := w.(http.Flusher)
	if version == whole.Version { // the first object holds no entry if nothing has changed
		json.NewEncoder(w).Encode(list{Version: version, Servers: []server{}})
	}
	flusher.Flush()
	empty := time.NewTicker(2 * time.Second)
	defer empty.Stop()
	for {
		changes, changed := a.after(version)
		for _, change := range changes {
			json.NewEncoder(w).Encode(change)
			flusher.Flush()
			version = change.Version
			for _, s := range change.Servers {
				a.log.printf("agent has written: %s is %s", s.ID, s.State)
			}
		}
		select {
		case <-changed:
		case <-empty.C:
			fmt.Fprint(w, "\n")
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}
