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

// memberResource returns the name of the resource of a member's address.
func memberResource(member int) string { return string(configsync.MemberPrefix) + strconv.Itoa(member) }

// PublishMembers returns a step that publishes the gossip addresses of some gateways. All gateways that can apply
// them use them from then on.
func PublishMembers(members ...int) Step {
	return Step{fmt.Sprintf("name %d members", len(members)), func(ctx context.Context, r *Run) error {
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

// PublishWithoutMember returns a step that publishes a version without a gateway, which that gateway can't apply. All others
// have it in force, and the publishers show who refused it and because of which resource.
func PublishWithoutMember(member int) Step {
	return Step{fmt.Sprintf("a version without member %d", member), func(ctx context.Context, r *Run) error {
		publication, err := r.changes.patch(ctx, nil, memberResource(member))
		if err != nil {
			return err
		}
		err = r.waitInForce(ctx, publication.Version, others(r.members(), []int{member}))
		if err != nil {
			return err
		}
		what := fmt.Sprintf("the publishers to show that member %d refused version %d", member, publication.Version)
		return r.waitUntil(ctx, what, func() bool { return r.showsRefusal(ctx, member, publication.Version) })
	}}
}

// showsRefusal reports whether the status of the publisher that a gateway follows shows which version it refused,
// because of which resource and why, and that no other gateway refused any.
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
			if !refusalOf(&follower, member, version) {
				return false
			}
			shown = true
		}
	}
	return shown
}

// refusalOf reports whether a follower is a member that refused a version because of its own resource.
func refusalOf(follower *publisher.Follower, member int, version configsync.Version) bool {
	resource := string(follower.RefusedResource)
	return follower.Member == member && follower.RefusedVersion == version && follower.InForce < version &&
		resource == memberResource(member) && follower.RefusalReason != ""
}

// WaitNoRefusals returns a step that waits until the publishers show no refusal any more.
func WaitNoRefusals() Step {
	return Step{"no refusal shown", func(ctx context.Context, r *Run) error {
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

// badRequest is a request that the publishers have to reject, and how the error begins.
type badRequest struct {
	request Request
	path    string // of the key at fault
}

// badRequests returns requests with an unknown or malformed key, and some that are malformed altogether.
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

// RejectBadRequests returns a step that sends bad requests to each publisher and checks that each is rejected by the
// path of its key and that nothing is published.
func RejectBadRequests() Step {
	return Step{"bad requests", func(ctx context.Context, r *Run) error {
		before := r.latestVersion()
		var faults []error
		for i := range r.Publishers.Count() {
			for _, bad := range badRequests() {
				faults = append(faults, r.Publishers.checkRejected(ctx, i, bad))
			}
		}
		if err := errors.Join(faults...); err != nil {
			return err
		}
		states, err := r.Publishers.states(ctx)
		if err != nil {
			return err
		}
		for _, state := range states {
			if state.Version != before {
				return fmt.Errorf("%s has version %d after bad requests, not %d", state.Name, state.Version, before)
			}
		}
		return nil
	}}
}

// checkRejected returns an error unless a publisher rejects a bad request by the path of its key.
func (p *PublisherGroup) checkRejected(ctx context.Context, i int, bad badRequest) error {
	rejected, err := p.rejection(ctx, i, bad.request)
	if err != nil {
		return fmt.Errorf("%s: %s is not rejected: %w", publisherName(i), bad.request.Body, err)
	}
	if !strings.HasPrefix(rejected.Message, bad.path) {
		return fmt.Errorf("%s: %s is rejected by %q, not by its key %q",
			publisherName(i), bad.request.Body, rejected.Message, bad.path)
	}
	return nil
}

// rejection sends a request to a publisher until it is rejected for a fault of its own, and again while the group has
// no leader. It is an error if the request is carried out.
func (p *PublisherGroup) rejection(ctx context.Context, i int, request Request) (*RejectedError, error) {
	for {
		var publication publisher.Publication
		err := p.request(ctx, i, request, &publication)
		if err == nil {
			return nil, fmt.Errorf("published as version %d", publication.Version)
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
			return nil, fmt.Errorf("%w: %w", ctx.Err(), err)
		case <-time.After(adminRetryInterval):
		}
	}
}

// CheckLogLines returns a step that checks the number of log lines of an event of gateways, over all incarnations.
func CheckLogLines(event string, count int, members ...int) Step {
	return Step{fmt.Sprintf("%d lines of %s", count, event), func(_ context.Context, r *Run) error {
		for _, member := range members {
			lines := r.Fleet.Gateway(member).EventLines(event)
			if len(lines) != count {
				return fmt.Errorf("%s logged it %d times: %s",
					fleet.GatewayName(member), len(lines), strings.Join(lines, "\n"))
			}
		}
		return nil
	}}
}
