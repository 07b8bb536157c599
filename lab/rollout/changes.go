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

// changePublisher publishes routine changes at an interval and the changes that steps request, one at a time, and
// records each change that was published. Its methods may be called concurrently, except for startRoutineChanges and
// stopRoutineChanges, which only the goroutine that runs the steps calls.
type changePublisher struct {
	publishers *PublisherGroup
	interval   time.Duration

	mu                 sync.Mutex // held while a change is published
	published          []PublishedChange
	requestCount       int
	routineCount       int // number of routine changes so far
	preferredPublisher int // index of the publisher to try first, or anyPublisher

	stopRequested chan struct{} // closed to stop the routine changes; nil if none are running
	result        chan error    // receives the error of the routine changes when they end
}

// publications returns all changes published so far.
func (c *changePublisher) publications() []PublishedChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.published)
}

// publish publishes a change by the first publisher that accepts it.
func (c *changePublisher) publish(ctx context.Context, request Request) (publisher.Publication, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.publishLocked(ctx, request)
}

// publishLocked does the work of publish. The caller holds c.mu.
func (c *changePublisher) publishLocked(ctx context.Context, request Request) (publisher.Publication, error) {
	sent := time.Now()
	c.requestCount++
	first := c.requestCount
	if c.preferredPublisher != anyPublisher {
		first = c.preferredPublisher
	}
	publication, err := c.publishers.Publish(ctx, first, request)
	if err == nil {
		c.published = append(c.published, PublishedChange{publication.Version, sent, time.Now()})
	}
	return publication, err
}

// setPreferredPublisher sets the publisher that each request is sent to first, or anyPublisher. The leader is preferred
// where forwarding by another publisher would cost time.
func (c *changePublisher) setPreferredPublisher(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferredPublisher = index
}

// Resources maps resource names to their contents: a gatewayconfig.QuotaPlan, Class or RuntimeLimits, or a member's
// address.
type Resources map[string]any

// patchBody is the body of a PATCH request, which sets and removes single resources.
type patchBody struct {
	Set    Resources `json:"set,omitempty"`
	Remove []string  `json:"remove,omitempty"`
}

// contentBody is the body of a PUT request, which replaces the whole configuration.
type contentBody struct {
	QuotaPlans []gatewayconfig.QuotaPlan   `json:"plans"`
	Classes    []gatewayconfig.Class       `json:"profiles"`
	Limits     gatewayconfig.RuntimeLimits `json:"limits"`
	Peers      []string                    `json:"peers"`
}

// patch publishes a version in which some resources are set and some removed.
func (c *changePublisher) patch(ctx context.Context, set Resources, remove ...string) (publisher.Publication, error) {
	request, err := patchRequest(set, remove)
	if err != nil {
		return publisher.Publication{}, err
	}
	return c.publish(ctx, request)
}

// patchRequest returns the PATCH request that stores the contents in set and deletes the resources named in remove. It
// fails if the contents cannot be encoded as JSON.
func patchRequest(set Resources, remove []string) (Request, error) {
	body, err := json.Marshal(patchBody{set, remove})
	return Request{http.MethodPatch, configurationPath, string(body)}, err
}

// PatchRequest returns the PATCH request that stores the contents of the given resources and leaves all others as they
// are. It fails if the contents cannot be encoded as JSON.
func PatchRequest(set Resources) (Request, error) { return patchRequest(set, nil) }

// ContentRequest returns the request that replaces the whole configuration. The new configuration has no members.
func ContentRequest(plans []gatewayconfig.QuotaPlan, classes []gatewayconfig.Class) (Request, error) {
	body, err := json.Marshal(contentBody{
		QuotaPlans: plans,
		Classes:    classes,
		Limits:     fleet.RuntimeLimits(),
		Peers:      []string{},
	})
	return Request{http.MethodPut, configurationPath, string(body)}, err
}

// startRoutineChanges starts a goroutine that publishes a routine change at each interval. It must not be called again
// before stopRoutineChanges.
func (c *changePublisher) startRoutineChanges(ctx context.Context) {
	c.stopRequested = make(chan struct{})
	c.result = make(chan error, 1)
	done := c.stopRequested
	go func() { c.result <- c.runRoutineChanges(ctx, done) }()
}

// runRoutineChanges publishes a routine change at each interval until done is closed or a change fails.
func (c *changePublisher) runRoutineChanges(ctx context.Context, done <-chan struct{}) error {
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
			return fmt.Errorf("publishing routine changes: %w", err)
		}
	}
}

// stopRoutineChanges stops the routine changes, waits for the one in progress and returns the first error. It does
// nothing if no routine changes are running.
func (c *changePublisher) stopRoutineChanges() error {
	if c.stopRequested == nil {
		return nil
	}
	close(c.stopRequested)
	c.stopRequested = nil
	return <-c.result
}

// publishRoutine publishes the next routine change.
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

// routineChange returns routine change i. The changes take turns in adding a quota plan, changing a quota plan, a
// request class and the limits, and removing the added plan. No two changes are the same, so that each results in a
// version.
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

// planResource returns the resource name of a quota plan.
func planResource(name string) string { return string(configsync.PlanPrefix) + name }

// classResource returns the resource name of a request class.
func classResource(name string) string { return string(configsync.ClassPrefix) + name }

// quotaPlan returns the contents of a quota plan's resource.
func quotaPlan(rate, burst float64) gatewayconfig.QuotaPlan {
	return gatewayconfig.QuotaPlan{Rate: rate, Burst: burst, PriorityWeight: 1}
}

// firstContentRequest returns the request for the first version: the given quota plans, by name, and the request
// classes and limits of the gateways' configuration files.
func firstContentRequest(plans map[string]gatewayconfig.QuotaPlan) (Request, error) {
	var list []gatewayconfig.QuotaPlan
	for _, name := range slices.Sorted(maps.Keys(plans)) {
		plan := plans[name]
		plan.Name = name
		list = append(list, plan)
	}
	return ContentRequest(list, fleet.Classes())
}
