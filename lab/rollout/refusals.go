package rollout

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ravensill/configsync"
	"ravensill/internal/publisher"
	"ravensill/lab/fleet"
)

// memberResource returns the resource name of a member's gossip address.
func memberResource(member int) string { return string(configsync.MemberPrefix) + strconv.Itoa(member) }

// PublishMembers returns a step that publishes the gossip addresses of gateways and waits until these gateways have
// applied them.
func PublishMembers(members ...int) Step {
	return Step{fmt.Sprintf("publish the addresses of %d members", len(members)), func(ctx context.Context, r *Run) error {
		set := Resources{}
		for _, member := range members {
			set[memberResource(member)] = r.Fleet.Gateway(member).PeerListen().String()
		}
		publication, err := r.changes.patch(ctx, set)
		if err != nil {
			return err
		}
		return r.waitInForce(ctx, publication.Version, members)
	}}
}

// PublishWithoutMember returns a step that publishes a version that omits a member, which must refuse it. It waits
// until the version is in force at all other gateways, and until the publishers show which member refused it and
// because of which resource.
func PublishWithoutMember(member int) Step {
	return Step{fmt.Sprintf("publish a version without member %d", member), func(ctx context.Context, r *Run) error {
		publication, err := r.changes.patch(ctx, nil, memberResource(member))
		if err != nil {
			return err
		}
		err = r.waitInForce(ctx, publication.Version, membersExcept(r.members(), []int{member}))
		if err != nil {
			return err
		}
		description := fmt.Sprintf("the publishers to show that member %d refused version %d", member, publication.Version)
		return r.waitUntil(ctx, description, func() bool { return r.showsRefusal(ctx, member, publication.Version) })
	}}
}

// showsRefusal reports whether the publishers' status shows that the member refused this version, with the resource and
// a reason, and shows no other refusal.
func (r *Run) showsRefusal(ctx context.Context, member int, version configsync.Version) bool {
	states, err := r.Publishers.states(ctx)
	if err != nil {
		return false
	}
	shown := false
	for i := range states {
		for _, follower := range states[i].Followers {
			if follower.RefusedVersion == 0 {
				continue
			}
			if !isRefusalBy(&follower, member, version) {
				return false
			}
			shown = true
		}
	}
	return shown
}

// isRefusalBy reports whether a follower is the given member and refused the version because of its own resource.
func isRefusalBy(follower *publisher.Follower, member int, version configsync.Version) bool {
	resource := string(follower.RefusedResource)
	return follower.Member == member && follower.RefusedVersion == version && follower.InForce < version &&
		resource == memberResource(member) && follower.RefusalReason != ""
}

// WaitNoRefusals returns a step that waits until the publishers show no refusal of a connected follower.
func WaitNoRefusals() Step {
	return Step{"wait until no refusal is shown", func(ctx context.Context, r *Run) error {
		return r.waitUntil(ctx, "the publishers to show no refusal", func() bool {
			states, err := r.Publishers.states(ctx)
			if err != nil {
				return false
			}
			for i := range states {
				for _, follower := range states[i].Followers {
					if follower.Connected && follower.RefusedVersion > 0 {
						return false
					}
				}
			}
			return true
		})
	}}
}

// badRequest is a request that the publishers must reject.
type badRequest struct {
	request     Request
	errorPrefix string // the error text must begin with it
}

// badRequests returns requests with an unknown or malformed key, and requests that are malformed as a whole.
func badRequests() []badRequest {
	patch := func(body string) Request { return Request{http.MethodPatch, configurationPath, body} }
	put := func(body string) Request { return Request{http.MethodPut, configurationPath, body} }
	return []badRequest{
		{patch(`{"set":{"plans/x":{"rate":1,"burst":1,"colour":2}}}`), "plans/x: colour: "},
		{patch(`{"set":{"plans/x":{"rate":"fast","burst":1}}}`), "plans/x: rate: "},
		{patch(`{"set":{"plans/x":{"rate":-1,"burst":1}}}`), "plans/x: rate: "},
		{patch(`{"set":{"plans/x":{"rate":1e300,"burst":1}}}`), "plans/x: rate: "},
		{patch(`{"set":{"plans/x":{"name":"y","rate":1,"burst":1}}}`), "plans/x: name: "},
		{patch(`{"set":{"plans/x":[1]}}`), "plans/x: "},
		{patch(`{"set":{"classes/lookup":{"effect":"sometimes","hard_limit_us":1}}}`), "classes/lookup: effect: "},
		{patch(`{"set":{"classes/lookup":{"effect":"safe"}}}`), "classes/lookup: hard_limit_us: "},
		{patch(`{"set":{"members/one":"127.0.0.1:1"}}`), `"members/one": `},
		{patch(`{"set":{"members/0":"nowhere"}}`), "members/0: "},
		{patch(`{"set":{"members/7":"127.0.0.1:1"}}`), "members/0: "},
		{
			patch(`{"set":{"limits":{"max_attempts":3,"cancelling":true,"retry_after":true,"probes":true}}}`),
			"limits: probes: ",
		},
		{patch(`{"set":{"limits":{"max_attempts":"many"}}}`), "limits: max_attempts: "},
		{patch(`{"set":{"routes/x":{}}}`), `"routes/x": `},
		{patch(`{"set":{},"delete":[]}`), `json: unknown field "delete"`},
		{patch(`{"set":{"plans/x":`), ""},
		{put(`{"plans":[{"name":"x","rate":1,"burst":1,"colour":2}],"profiles":[]}`), "plans/x: colour: "},
		{put(`{"plans":[{"rate":1}],"profiles":[]}`), "plans.0.name: "},
		{put(`{"plans":[],"profiles":[]}`), "plans/: "},
		{put(`{"tenants":[]}`), `json: unknown field "tenants"`},
		{Request{http.MethodPost, "/v1/rollback", `{"to":1000000}`}, "to: "},
		{Request{http.MethodPost, "/v1/rollback", `{}`}, "to: "},
	}
}

// RejectBadRequests returns a step that sends bad requests to each publisher and checks that each is rejected with an
// error that names the faulty key, and that no version is published.
func RejectBadRequests() Step {
	return Step{"send bad requests", func(ctx context.Context, r *Run) error {
		before := r.latestVersion()
		var errs []error
		for i := range r.Publishers.Count() {
			for _, bad := range badRequests() {
				errs = append(errs, r.Publishers.checkRejected(ctx, i, bad))
			}
		}
		if err := errors.Join(errs...); err != nil {
			return err
		}
		states, err := r.Publishers.states(ctx)
		if err != nil {
			return err
		}
		for _, state := range states {
			if state.Version != before {
				return fmt.Errorf("%s has version %d after bad requests, want %d", state.Name, state.Version, before)
			}
		}
		return nil
	}}
}

// checkRejected returns an error unless publisher i rejects a bad request with an error that begins with the path of
// its faulty key.
func (p *PublisherGroup) checkRejected(ctx context.Context, i int, bad badRequest) error {
	rejected, err := p.sendUntilRejected(ctx, i, bad.request)
	if err != nil {
		return fmt.Errorf("%s: request %s was not rejected as bad: %w", publisherName(i), bad.request.Body, err)
	}
	if !strings.HasPrefix(rejected.Message, bad.errorPrefix) {
		return fmt.Errorf("%s: request %s was rejected with error %q, want prefix %q",
			publisherName(i), bad.request.Body, rejected.Message, bad.errorPrefix)
	}
	return nil
}

// sendUntilRejected sends a request to publisher i until it is rejected with a 4xx status, and retries while the group
// has no leader (503 Service Unavailable). It fails if the request is accepted.
func (p *PublisherGroup) sendUntilRejected(ctx context.Context, i int, request Request) (*RejectedError, error) {
	for {
		var publication publisher.Publication
		err := p.request(ctx, i, request, &publication)
		if err == nil {
			return nil, fmt.Errorf("the request was published as version %d", publication.Version)
		}
		var rejected *RejectedError
		if !errors.As(err, &rejected) {
			return nil, err
		}
		if rejected.StatusCode < http.StatusInternalServerError {
			return rejected, nil
		}
		if rejected.StatusCode != http.StatusServiceUnavailable {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("waiting for a leading publisher: %w: %w", ctx.Err(), err)
		case <-time.After(adminRetryInterval):
		}
	}
}

// CheckLogLines returns a step that checks that each of the given gateways has logged an event count times, over all
// incarnations.
func CheckLogLines(event string, count int, members ...int) Step {
	return Step{fmt.Sprintf("check for %d lines of event %s", count, event), func(_ context.Context, r *Run) error {
		for _, member := range members {
			lines := r.Fleet.Gateway(member).EventLines(event)
			if len(lines) != count {
				return fmt.Errorf("%s logged the event %d times: %s",
					fleet.GatewayName(member), len(lines), strings.Join(lines, "\n"))
			}
		}
		return nil
	}}
}
