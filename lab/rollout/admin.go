package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"ravensill/internal/publisher"
)

const (
	adminTimeout          = 8 * time.Second // for one request; longer than the publishers' own timeouts
	slowResponseThreshold = time.Second     // responses that take at least this long are recorded
	adminRetryInterval    = 100 * time.Millisecond
)

// anyPublisher as the preferred publisher lets each request begin with the next publisher in turn.
const anyPublisher = -1

// RejectedError is the error of a request that a publisher answered with a status other than 200 OK.
type RejectedError struct {
	StatusCode int
	Message    string // begins with the path of the faulty key
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("HTTP status %d: %s", e.StatusCode, e.Message)
}

// Request is a request to the publishers' HTTP API.
type Request struct {
	Method string
	Path   string
	Body   string
}

// request sends a request to publisher i and decodes the JSON body of a 200 OK response into result. The error is a
// *RejectedError if the publisher responded with another status and a JSON error.
func (p *PublisherGroup) request(ctx context.Context, i int, request Request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	url := "http://" + p.addresses[i].admin.String() + request.Path
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, url, strings.NewReader(request.Body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(body, result)
	}
	var rejection struct{ Error string }
	if err := json.Unmarshal(body, &rejection); err != nil {
		return fmt.Errorf("decoding the error of a response with HTTP status %d: %w", response.StatusCode, err)
	}
	return &RejectedError{response.StatusCode, rejection.Error}
}

// Publish publishes a change. It tries the publishers in turn, beginning with index first (modulo the number of
// publishers), until one accepts the change, as an operator's tool does. Retrying is safe: publishing the same change
// twice results in a single version. It fails if a publisher rejects the request with a 4xx status, or when ctx ends.
func (p *PublisherGroup) Publish(ctx context.Context, first int, request Request) (publisher.Publication, error) {
	for i := first; ; i++ {
		var publication publisher.Publication
		start := time.Now()
		err := p.request(ctx, i%p.Count(), request, &publication)
		p.recordSlowResponse(i%p.Count(), time.Since(start), err)
		if err == nil {
			return publication, nil
		}
		var rejected *RejectedError
		if errors.As(err, &rejected) && rejected.StatusCode < http.StatusInternalServerError {
			return publication, err
		}
		select {
		case <-ctx.Done():
			return publication, fmt.Errorf("no publisher accepted the change: %w: %w", ctx.Err(), err)
		case <-time.After(adminRetryInterval):
		}
	}
}

// recordSlowResponse records a response that took at least slowResponseThreshold, with the last lines of the
// publisher's log.
func (p *PublisherGroup) recordSlowResponse(i int, took time.Duration, err error) {
	if took < slowResponseThreshold {
		return
	}
	text := fmt.Sprintf("%s responded after %.1f s with error %v; its last log lines:\n%s",
		publisherName(i), took.Seconds(), err, p.processes[i].Tail(slowResponseLogLines))
	p.slowMu.Lock()
	defer p.slowMu.Unlock()
	p.slowResponses = append(p.slowResponses, text)
}

// slowResponseLogLines is the number of log lines recorded with a slow response.
const slowResponseLogLines = 4

// SlowResponses returns a description of each slow response so far.
func (p *PublisherGroup) SlowResponses() []string {
	p.slowMu.Lock()
	defer p.slowMu.Unlock()
	return slices.Clone(p.slowResponses)
}

// Status requests the status of publisher i.
func (p *PublisherGroup) Status(ctx context.Context, i int) (publisher.Status, error) {
	var status publisher.Status
	err := p.request(ctx, i, Request{Method: http.MethodGet, Path: "/v1/status"}, &status)
	return status, err
}

// states requests the status of every running publisher. It fails if one of them does not respond.
func (p *PublisherGroup) states(ctx context.Context) (states []PublisherState, err error) {
	for i, process := range p.processes {
		if !process.Running() {
			continue
		}
		status, err := p.Status(ctx, i)
		if err != nil {
			return nil, fmt.Errorf("requesting the status of %s: %w", process.Name, err)
		}
		states = append(states, PublisherState{
			Name:      process.Name,
			Version:   status.Version,
			Digest:    status.Digest,
			Log:       status.Log,
			Followers: status.Followers,
		})
	}
	return states, nil
}

// WaitLeader waits until a running publisher reports that it is the leader, and returns its index.
func (p *PublisherGroup) WaitLeader(ctx context.Context) (int, error) {
	for {
		for i, process := range p.processes {
			if !process.Running() {
				continue
			}
			status, err := p.Status(ctx, i)
			if err == nil && status.IsLeader {
				return i, nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("waiting for a leading publisher: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
