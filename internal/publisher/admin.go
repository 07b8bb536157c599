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

// forwardedHeader is set on a request that a replica forwards to the leader. Its value is the index of that replica. A
// request with this header is never forwarded again, which prevents loops while replicas disagree about the leader.
const forwardedHeader = "Ravensill-Forwarded"

// handler returns the HTTP API for operators:
//
//	PUT /v1/configuration    replaces the whole content: {"plans": [..], "profiles": [..], "peers": [..], "limits": {..}}
//	PATCH /v1/configuration  changes some resources: {"set": {resource: value}, "remove": [resource]}
//	GET /v1/configuration    returns the current version and its content, by resource
//	POST /v1/rollback        {"to": version}: publishes the content of that version as a new version
//	GET /v1/status           returns the Status of this replica
//	GET /v1/fleet            returns the FleetStatus: all replicas and their followers
//
// A replica that doesn't lead forwards PUT, PATCH and POST to the leader. If such a request has the header If-Match
// with a version in quotes, it succeeds only if that is the current version (RFC 9110, section 13.1.1).
func (p *Publisher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/configuration", p.changeHandler(parsePut))
	mux.HandleFunc("PATCH /v1/configuration", p.changeHandler(parsePatch))
	mux.HandleFunc("POST /v1/rollback", p.changeHandler(parseRollback))
	mux.HandleFunc("GET /v1/configuration", p.getConfiguration)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Status())
	})
	mux.HandleFunc("GET /v1/fleet", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, p.FleetStatus(r.Context()))
	})
	return mux
}

// changeHandler returns a handler for requests that change the configuration. It forwards a request to the leader if
// another replica leads and the request was not forwarded before. Otherwise it publishes the change at this replica,
// which fails with a NotLeaderError if this replica does not lead.
func (p *Publisher) changeHandler(parse func(body string) (changeFunc, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		leader := p.replica.LeaderIndex()
		ledElsewhere := leader >= 0 && leader < len(p.cfg.AdminAddresses) && leader != p.cfg.Index
		if ledElsewhere && r.Header.Get(forwardedHeader) == "" {
			p.forward(w, r, leader)
			return
		}
		publication, err := p.publishRequest(w, r, parse)
		if err != nil {
			p.counters.rejectedRequests.Add(1)
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, publication)
	}
}

// forward proxies a request to the replica with index leader. If that replica can't be reached, the answer is a
// NotLeaderError that names it.
func (p *Publisher) forward(w http.ResponseWriter, r *http.Request, leader int) {
	target := &url.URL{Scheme: "http", Host: p.cfg.AdminAddresses[leader].String()}
	proxy := &httputil.ReverseProxy{
		Rewrite: func(request *httputil.ProxyRequest) {
			request.SetURL(target)
			request.Out.Header.Set(forwardedHeader, strconv.Itoa(p.cfg.Index))
		},
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) {
			p.counters.rejectedRequests.Add(1)
			writeError(w, &NotLeaderError{leader})
		},
	}
	proxy.ServeHTTP(w, r)
}

// publishRequest reads the change from a request and publishes it. parse decodes the body, which must not be longer
// than configsync.MaxCommandBytes.
func (p *Publisher) publishRequest(
	w http.ResponseWriter,
	r *http.Request,
	parse func(body string) (changeFunc, error),
) (Publication, error) {
	base, err := parseIfMatch(r)
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

// parseIfMatch returns the version in the header If-Match, which the change requires to be the current one. It returns
// nil if the header is missing or *, which allows any current version.
func parseIfMatch(r *http.Request) (*configsync.Version, error) {
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

func parsePut(body string) (changeFunc, error) {
	wanted, err := parseContent(body)
	if err != nil {
		return nil, err
	}
	return putChangeFunc(wanted), nil
}

func parsePatch(body string) (changeFunc, error) {
	changes, err := parseChanges(body)
	if err != nil {
		return nil, err
	}
	return patchChangeFunc(changes), nil
}

func parseRollback(body string) (changeFunc, error) {
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
	return rollbackChangeFunc(*request.To), nil
}

// configurationBody is the body of a response to GET /v1/configuration.
type configurationBody struct {
	Resources map[configsync.Resource]json.RawMessage `json:"resources"`
	Version   configsync.Version                      `json:"version"`
}

// errorBody is the body of a response with an error status.
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

// writeError responds with the HTTP status and the text of an error. If one key of the request is at fault, the text
// begins with the path of that key.
func writeError(w http.ResponseWriter, err error) {
	status := httpStatus(err)
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, errorBody{err.Error()})
}

// httpStatus returns the HTTP status for an error of publishRequest. Errors that are not listed here are faults of the
// request: it could not be decoded, or configsync.State or a gateway would not accept the changes.
func httpStatus(err error) int {
	var notLeader *NotLeaderError
	var conflict *configsync.ConflictError
	var notInHistory *VersionNotInHistoryError
	switch {
	case errors.As(err, &notLeader), errors.Is(err, consensus.ErrNotLeader), errors.Is(err, consensus.ErrUnknownOutcome):
		return http.StatusServiceUnavailable
	case errors.As(err, &conflict):
		return http.StatusPreconditionFailed
	case errors.As(err, &notInHistory):
		return http.StatusGone
	}
	return http.StatusBadRequest
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
