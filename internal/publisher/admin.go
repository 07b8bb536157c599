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

// forwardedHeader marks a request that another replica passed on to the leader, so that it isn't passed on again.
const forwardedHeader = "Ravensill-Forwarded"

// handler gives the HTTP interface of operators:
//
//	PUT /v1/configuration    the whole content: {"plans": [..], "profiles": [..], "peers": [..], "limits": {..}}
//	PATCH /v1/configuration  {"set": {resource: value}, "remove": [resource]}
//	GET /v1/configuration    the content in force by resource
//	POST /v1/rollback        {"to": version}: its content as a new version
//	GET /v1/status           this replica's Status
//	GET /v1/fleet            Fleet: the followers of all replicas
//
// Changes are passed on to the leader. With the header If-Match, a quoted version, they are made only where that is the
// current one (RFC 9110, section 13.1.1).
func (p *Publisher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/configuration", p.atLeader(p.put))
	mux.HandleFunc("PATCH /v1/configuration", p.atLeader(p.patch))
	mux.HandleFunc("POST /v1/rollback", p.atLeader(p.rollback))
	mux.HandleFunc("GET /v1/configuration", p.getConfiguration)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, p.Status())
	})
	mux.HandleFunc("GET /v1/fleet", func(w http.ResponseWriter, r *http.Request) {
		answer(w, http.StatusOK, p.Fleet(r.Context()))
	})
	return mux
}

// atLeader has a request handled by the leader: here, or there by passing it on.
func (p *Publisher) atLeader(handle func(body string) (draft, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		leader := p.replica.Leader()
		elsewhere := leader >= 0 && leader < len(p.cfg.Admin) && leader != p.cfg.Index
		if elsewhere && r.Header.Get(forwardedHeader) == "" {
			p.forward(w, r, leader)
			return
		}
		publication, err := p.change(w, r, handle)
		if err != nil {
			p.counters.rejected.Add(1)
			fail(w, err)
			return
		}
		answer(w, http.StatusOK, publication)
	}
}

// forward passes a request on to the leader.
func (p *Publisher) forward(w http.ResponseWriter, r *http.Request, leader int) {
	target := &url.URL{Scheme: "http", Host: p.cfg.Admin[leader].String()}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(request *httputil.ProxyRequest) {
			request.SetURL(target)
			request.Out.Header.Set(forwardedHeader, strconv.Itoa(p.cfg.Index))
		},
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) {
			p.counters.rejected.Add(1)
			fail(w, &NotLeaderError{leader})
		},
	}
	proxy.ServeHTTP(w, r)
}

// change reads a request for a change and carries it out.
func (p *Publisher) change(w http.ResponseWriter, r *http.Request, handle func(body string) (draft, error)) (Publication, error) {
	base, err := ifMatch(r)
	if err != nil {
		return Publication{}, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, configsync.MaxCommandBytes))
	if err != nil {
		return Publication{}, &RequestError{Reason: err.Error()}
	}
	changesFor, err := handle(string(body))
	if err != nil {
		return Publication{}, err
	}
	return p.publish(changesFor, base)
}

// ifMatch gives the version that a request is made for, nil where it is made for any.
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

func (p *Publisher) put(body string) (draft, error) {
	wanted, err := parseContent(body)
	if err != nil {
		return nil, err
	}
	return putDraft(wanted), nil
}

func (p *Publisher) patch(body string) (draft, error) {
	changes, err := parseChanges(body)
	if err != nil {
		return nil, err
	}
	return patchDraft(changes), nil
}

func (p *Publisher) rollback(body string) (draft, error) {
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
	answer(w, http.StatusOK, map[string]any{"version": version, "resources": resources})
}

// fail answers by an error. Its text begins with the path of the key at fault, where there is one.
func fail(w http.ResponseWriter, err error) {
	status := statusOf(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	answer(w, status, map[string]string{"error": err.Error()})
}

// statusOf gives the HTTP status of an error of publish. What is not known here is a fault of the request: the decoder's
// errors and those of the state's rules.
func statusOf(err error) int {
	var notLeader *NotLeaderError
	var conflict *configsync.ConflictError
	var history *HistoryError
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

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
