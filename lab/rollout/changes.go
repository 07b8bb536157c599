package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"ravensill/configsync"
	"ravensill/internal/publisher"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
)

const configurationPath = "/v1/configuration"

// changePublisher publishes changes, at an interval and for steps, one at a time, and records those that were agreed
// on.
type changePublisher struct {
	publishers *PublisherGroup
	interval   time.Duration

	mu           sync.Mutex // locked during one publication
	published    []PublishedChange
	requestCount int
	routineCount int // routine changes so far
	preferred    int // publisher that gets a request first, or anyPublisher

	done  chan struct{} // closed to stop run; nil: it does not run
	ended chan error    // the result of run
}

// publications returns all that was published so far.
func (c *changePublisher) publications() []PublishedChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.published)
}

// publish publishes a change by any publisher that can.
func (c *changePublisher) publish(ctx context.Context, request Request) (publisher.Publication, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.publishLocked(ctx, request)
}

// publishLocked is publish with the mutex locked.
func (c *changePublisher) publishLocked(ctx context.Context, request Request) (publisher.Publication, error) {
	sent := time.Now()
	c.requestCount++
	first := c.requestCount
	if c.preferred != anyPublisher {
		first = c.preferred
	}
	publication, err := c.publishers.Publish(ctx, first, request)
	if err == nil {
		c.published = append(c.published, PublishedChange{publication.Version, sent, time.Now()})
	}
	return publication, err
}

// prefer sets the publisher that gets a request first, such as the leader, which need not forward it.
func (c *changePublisher) prefer(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = index
}

// Resources are contents of resources by name: a gatewayconfig.QuotaPlan, Class or RuntimeLimits, or an address.
type Resources map[string]any

// patchBody is the body of a request that sets and removes resources.
type patchBody struct {
	Set    Resources `json:"set,omitempty"`
	Remove []string  `json:"remove,omitempty"`
}

// contentBody is the body of a request that replaces all content.
type contentBody struct {
	QuotaPlans []gatewayconfig.QuotaPlan   `json:"plans"`
	Classes    []gatewayconfig.Class       `json:"profiles"`
	Limits     gatewayconfig.RuntimeLimits `json:"limits"`
	Peers      []string                    `json:"peers"`
}

// patch sets and removes resources.
func (c *changePublisher) patch(ctx context.Context, set Resources, remove ...string) (publisher.Publication, error) {
	request, err := patchRequest(set, remove)
	if err != nil {
		return publisher.Publication{}, err
	}
	return c.publish(ctx, request)
}

// patchRequest returns the request that sets and removes resources.
func patchRequest(set Resources, remove []string) (Request, error) {
	body, err := json.Marshal(patchBody{set, remove})
	return Request{http.MethodPatch, configurationPath, string(body)}, err
}

// PatchRequest returns the request that sets resources.
func PatchRequest(set Resources) (Request, error) { return patchRequest(set, nil) }

// ContentRequest returns the request that replaces all content. It names no members.
func ContentRequest(plans []gatewayconfig.QuotaPlan, classes []gatewayconfig.Class) (Request, error) {
	body, err := json.Marshal(contentBody{
		QuotaPlans: plans,
		Classes:    classes,
		Limits:     fleet.RuntimeLimits(),
		Peers:      []string{},
	})
	return Request{http.MethodPut, configurationPath, string(body)}, err
}

// start publishes a routine change at each interval from now on.
func (c *changePublisher) start(ctx context.Context) {
	c.done = make(chan struct{})
	c.ended = make(chan error, 1)
	done := c.done
	go func() { c.ended <- c.run(ctx, done) }()
}

// run publishes routine changes until done is closed.
func (c *changePublisher) run(ctx context.Context, done <-chan struct{}) error {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ticker.C:
		}
		_, err := c.publishRoutine(ctx)
		if err != nil {
			return fmt.Errorf("changes: %w", err)
		}
	}
}

// stop ends the routine changes and waits for the one in progress.
func (c *changePublisher) stop() error {
	if c.done == nil {
		return nil
	}
	close(c.done)
	c.done = nil
	return <-c.ended
}

// publishRoutine publishes the next routine change. Quota plans come, change and go, and a request class and limits
// change under load. Each change differs from all before.
func (c *changePublisher) publishRoutine(ctx context.Context) (publisher.Publication, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set, remove := routineChange(c.routineCount)
	c.routineCount++
	request, err := patchRequest(set, remove)
	if err != nil {
		return publisher.Publication{}, err
	}
	return c.publishLocked(ctx, request)
}

// routineChange returns the i-th routine change.
func routineChange(i int) (set Resources, remove []string) {
	const kinds = 5
	round := i / kinds
	name := planResource(fmt.Sprintf("round-%d", round))
	switch i % kinds {
	case 0:
		return Resources{name: quotaPlan(100, 100)}, nil
	case 1:
		return Resources{planResource("small"): quotaPlan(20, float64(41+round))}, nil
	case 2:
		class := fleet.Classes()[0]
		class.Value += float64(round+1) / 1e6
		return Resources{classResource(class.Name): class}, nil
	case 3:
		limits := fleet.RuntimeLimits()
		limits.MaxRetryAfterUS += int64(round+1) * time.Millisecond.Microseconds()
		return Resources{string(configsync.LimitsResource): limits}, nil
	}
	return nil, []string{name}
}

// planResource returns the name of the resource of a quota plan.
func planResource(name string) string { return string(configsync.PlanPrefix) + name }

// classResource returns the name of the resource of a request class.
func classResource(name string) string { return string(configsync.ClassPrefix) + name }

// quotaPlan returns the content of a quota plan's resource.
func quotaPlan(rate, burst float64) gatewayconfig.QuotaPlan {
	return gatewayconfig.QuotaPlan{Rate: rate, Burst: burst, PriorityWeight: 1}
}

// firstContentRequest returns the request that publishes what the gateways' files say, with other quota plans.
func firstContentRequest(plans map[string]gatewayconfig.QuotaPlan) (Request, error) {
	var list []gatewayconfig.QuotaPlan
	for _, name := range slices.Sorted(maps.Keys(plans)) {
		plan := plans[name]
		plan.Name = name
		list = append(list, plan)
	}
	return ContentRequest(list, fleet.Classes())
}
