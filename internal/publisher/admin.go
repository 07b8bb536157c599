package publisher

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"

	"ravensill/configsync"
	"ravensill/internal/consensus"
	"ravensill/internal/strictjson"
)

// forwardedHeader marks a request that another replica forwarded to the leader, so that it isn't forwarded again.
const forwardedHeader = "Ravensill-Forwarded"

// handler returns the HTTP interface for operators:
//
//	PUT /v1/configuration    the complete content: {"plans": [..], "profiles": [..], "peers": [..], "limits": {..}}
//	PATCH /v1/configuration  {"set": {resource: value}, "remove": [resource]}
//	GET /v1/configuration    the content in force by resource
//	POST /v1/rollback        {"to": version}: its content as a new version
//	GET /v1/status           this replica's Status
//	GET /v1/fleet            Fleet: the followers of all replicas
//
// Changes are forwarded to the leader. With the header If-Match, a quoted version, a change is made only if that is the
// current version (RFC 9110, section 13.1.1).
func (p *Publisher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/configuration", p.atLeader(parsePut))
	mux.HandleFunc("PATCH /v1/configuration", p.atLeader(parsePatch))
	mux.HandleFunc("POST /v1/rollback", p.atLeader(parseRollback))
	mux.HandleFunc("GET /v1/configuration", p.getConfiguration)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Status())
	})
	mux.HandleFunc("GET /v1/fleet", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, p.FleetStatus(r.Context()))
	})
	return mux
}

// atLeader returns a handler that handles a change at this replica, or forwards it if another one leads.
func (p *Publisher) atLeader(parse func(body string) (draft, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		leader := p.replica.LeaderIndex()
		elsewhere := leader >= 0 && leader < len(p.cfg.AdminAddresses) && leader != p.cfg.Index
		if elsewhere && r.Header.Get(forwardedHeader) == "" {
			p.forward(w, r, leader)
			return
		}
		publication, err := p.change(w, r, parse)
		if err != nil {
			p.counters.rejected.Add(1)
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, publication)
	}
}

// forward sends a request to the leader and returns its response.
func (p *Publisher) forward(w http.ResponseWriter, r *http.Request, leader int) {
	target := &url.URL{Scheme: "http", Host: p.cfg.AdminAddresses[leader].String()}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(request *httputil.ProxyRequest) {
			request.SetURL(target)
			request.Out.Header.Set(forwardedHeader, strconv.Itoa(p.cfg.Index))
		},
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) {
			p.counters.rejected.Add(1)
			writeError(w, &NotLeaderError{leader})
		},
	}
	proxy.ServeHTTP(w, r)
}

// change reads a request for a change and publishes it.
func (p *Publisher) change(
	w http.ResponseWriter,
	r *http.Request,
	parse func(body string) (draft, error),
) (Publication, error) {
	base, err := ifMatch(r)
	if err != nil {
		return Publication{}, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, configsync.MaxCommandBytes))
	if err != nil {
		return Publication{}, &RequestError{Reason: err.Error()}
	}
	changesFor, err := parse(string(body))
	if err != nil {
		return Publication{}, err
	}
	return p.publish(changesFor, base)
}

// ifMatch returns the version that a request is made for, or nil if it is made for any.
func ifMatch(r *http.Request) (*configsync.Version, error) {
	text := r.Header.Get("If-Match")
	if text == "" || text == "*" {
		return nil, nil
	}
	number, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return nil, &RequestError{"If-Match", "not a version"}
	}
	version := configsync.Version(number)
	return &version, nil
}

func parsePut(body string) (draft, error) {
	wanted, err := parseContent(body)
	if err != nil {
		return nil, err
	}
	return putDraft(wanted), nil
}

func parsePatch(body string) (draft, error) {
	changes, err := parseChanges(body)
	if err != nil {
		return nil, err
	}
	return patchDraft(changes), nil
}

func parseRollback(body string) (draft, error) {
	var request struct {
		To *configsync.Version `json:"to"`
	}
	err := strictjson.Decode(body, &request)
	if err != nil {
		return nil, &RequestError{Reason: err.Error()}
	}
	if request.To == nil {
		return nil, &RequestError{"to", "missing"}
	}
	return rollbackDraft(*request.To), nil
}

// configurationBody is the body of the answer to GET /v1/configuration.
type configurationBody struct {
	Resources map[configsync.Resource]json.RawMessage `json:"resources"`
	Version   configsync.Version                      `json:"version"`
}

// errorBody is the body of an answer with an error.
type errorBody struct {
	Error string `json:"error"`
}

func (p *Publisher) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	version := p.state.Document().Version()
	content := p.state.Document().Changes()
	p.mu.Unlock()
	resources := make(map[configsync.Resource]json.RawMessage, len(content))
	for _, change := range content {
		resources[change.Resource] = change.Value
	}
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.FormatUint(uint64(version), 10)))
	writeJSON(w, http.StatusOK, configurationBody{Resources: resources, Version: version})
}

// writeError answers with an error, whose text begins with the path of the key at fault, if there is one.
func writeError(w http.ResponseWriter, err error) {
	status := statusOf(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, errorBody{err.Error()})
}

// statusOf returns the HTTP status for an error of publish. All other errors are faults of the request: those of the
// decoder and of the rules of configsync.State.
func statusOf(err error) int {
	var notLeader *NotLeaderError
	var conflict *configsync.ConflictError
	var history *VersionNotInHistoryError
	switch {
	case errors.As(err, &notLeader), errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrUnknownOutcome):
		return http.StatusServiceUnavailable
	case errors.As(err, &conflict):
		return http.StatusPreconditionFailed
	case errors.As(err, &history):
		return http.StatusGone
	}
	return http.StatusBadRequest
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
