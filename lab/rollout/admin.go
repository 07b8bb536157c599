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
	adminTimeout       = 8 * time.Second // of one request; a publisher's own limits are shorter
	slowAnswer         = time.Second     // from which on an answer is recorded as slow
	adminRetryInterval = 100 * time.Millisecond
)

// anyPublisher stands for another publisher with each request.
const anyPublisher = -1

// RejectedError is an answer by which a publisher rejects a change.
type RejectedError struct {
	StatusCode int
	Message    string // begins with the path of the key at fault
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("HTTP status %d: %s", e.StatusCode, e.Message)
}

// Request is one request to the HTTP interface of the publishers.
type Request struct {
	Method string
	Path   string
	Body   string
}

// request sends a request to one publisher. The error is a *RejectedError if the publisher answered by one.
func (p *PublisherGroup) request(ctx context.Context, i int, request Request, into any) error {
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
		return json.Unmarshal(body, into)
	}
	var rejection struct{ Error string }
	if err := json.Unmarshal(body, &rejection); err != nil {
		return fmt.Errorf("HTTP status %d: %w", response.StatusCode, err)
	}
	return &RejectedError{response.StatusCode, rejection.Error}
}

// Publish has a change made by any publisher, beginning with the first one given. It repeats the request until one
// can make the change, as an operator's tool does: the same change twice is one version.
func (p *PublisherGroup) Publish(ctx context.Context, first int, request Request) (publisher.Publication, error) {
	for i := first; ; i++ {
		var publication publisher.Publication
		start := time.Now()
		err := p.request(ctx, i%p.Count(), request, &publication)
		p.recordSlow(i%p.Count(), time.Since(start), err)
		if err == nil {
			return publication, nil
		}
		var rejected *RejectedError
		if errors.As(err, &rejected) && rejected.StatusCode < http.StatusInternalServerError {
			return publication, err
		}
		select {
		case <-ctx.Done():
			return publication, fmt.Errorf("publishing a change: %w: %w", ctx.Err(), err)
		case <-time.After(adminRetryInterval):
		}
	}
}

// recordSlow records a slow answer, with the publisher's latest log lines.
func (p *PublisherGroup) recordSlow(i int, took time.Duration, err error) {
	if took < slowAnswer {
		return
	}
	text := fmt.Sprintf("%s answered after %.1f s: %v; its last lines:\n%s",
		publisherName(i), took.Seconds(), err, p.processes[i].Tail(slowAnswerLines))
	p.slowMu.Lock()
	defer p.slowMu.Unlock()
	p.slowAnswers = append(p.slowAnswers, text)
}

// slowAnswerLines is the number of log lines that are recorded with a slow answer.
const slowAnswerLines = 4

// SlowResponses returns a text on each answer that was slow.
func (p *PublisherGroup) SlowResponses() []string {
	p.slowMu.Lock()
	defer p.slowMu.Unlock()
	return slices.Clone(p.slowAnswers)
}

// Status returns the status of one publisher.
func (p *PublisherGroup) Status(ctx context.Context, i int) (publisher.Status, error) {
	var status publisher.Status
	err := p.request(ctx, i, Request{Method: http.MethodGet, Path: "/v1/status"}, &status)
	return status, err
}

// states returns the states of all publishers that run.
func (p *PublisherGroup) states(ctx context.Context) (states []PublisherState, err error) {
	for i, process := range p.processes {
		if !process.Running() {
			continue
		}
		status, err := p.Status(ctx, i)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", process.Name, err)
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

// WaitLeader waits until a publisher leads, and returns its index.
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
			return 0, fmt.Errorf("no publisher leads: %w", ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}
