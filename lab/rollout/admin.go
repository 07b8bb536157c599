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
	adminTimeout = 8 * time.Second        // of one request; a publisher's own limits are shorter
	slowAnswer   = time.Second            // an answer that takes longer is noted
	adminPause   = 100 * time.Millisecond // before a request that no publisher could carry out is repeated
)

// RejectedError is an answer by which a publisher refuses a change.
type RejectedError struct {
	Status int
	Text   string // begins with the path of the key at fault
}

func (e *RejectedError) Error() string { return fmt.Sprintf("HTTP status %d: %s", e.Status, e.Text) }

// Request is one request to the HTTP interface of the publishers.
type Request struct {
	Method, Path, Body string
}

// ask sends a request to one publisher. The error is a *RejectedError where the publisher answered by one.
func (p *Publishers) ask(ctx context.Context, i int, request Request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	url := "http://" + p.addresses[i].admin.String() + request.Path
	r, err := http.NewRequestWithContext(ctx, request.Method, url, strings.NewReader(request.Body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
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
	var fault struct{ Error string }
	err = json.Unmarshal(body, &fault)
	if err != nil {
		return fmt.Errorf("HTTP status %d: %w", response.StatusCode, err)
	}
	return &RejectedError{response.StatusCode, fault.Error}
}

// Change has a change made by any publisher, beginning with the first one given. As long as none can carry it out it is
// sent again, as an operator's tool does: the same change twice is one version.
func (p *Publishers) Change(ctx context.Context, first int, request Request) (publisher.Publication, error) {
	for i := first; ; i++ {
		var publication publisher.Publication
		began := time.Now()
		err := p.ask(ctx, i%p.Count(), request, &publication)
		p.noteSlow(i%p.Count(), time.Since(began), err)
		if err == nil {
			return publication, nil
		}
		var rejected *RejectedError
		if errors.As(err, &rejected) && rejected.Status < http.StatusInternalServerError {
			return publication, err
		}
		select {
		case <-ctx.Done():
			return publication, fmt.Errorf("%w: %w", ctx.Err(), err)
		case <-time.After(adminPause):
		}
	}
}

// noteSlow notes an answer that took long, with what it was and the publisher's last log lines.
func (p *Publishers) noteSlow(i int, took time.Duration, err error) {
	if took < slowAnswer {
		return
	}
	text := fmt.Sprintf("%s answered after %.1f s: %v; its last lines:\n%s", publisherName(i), took.Seconds(), err,
		p.processes[i].Tail(shownFaults))
	p.slowMu.Lock()
	defer p.slowMu.Unlock()
	p.slow = append(p.slow, text)
}

// Slow gives what noteSlow noted.
func (p *Publishers) Slow() []string {
	p.slowMu.Lock()
	defer p.slowMu.Unlock()
	return slices.Clone(p.slow)
}

// Status asks one publisher how it stands.
func (p *Publishers) Status(ctx context.Context, i int) (publisher.Status, error) {
	var status publisher.Status
	err := p.ask(ctx, i, Request{Method: http.MethodGet, Path: "/v1/status"}, &status)
	return status, err
}

// states asks all publishers that run how they stand.
func (p *Publishers) states(ctx context.Context) (states []PublisherState, err error) {
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

// Leader waits until a publisher leads, and gives its index.
func (p *Publishers) Leader(ctx context.Context) (int, error) {
	for {
		for i, process := range p.processes {
			if !process.Running() {
				continue
			}
			status, err := p.Status(ctx, i)
			if err == nil && status.Leads {
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
