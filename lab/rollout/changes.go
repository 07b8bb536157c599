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

const (
	configurationPath = "/v1/configuration"
	anyPublisher      = -1
)

// changes publishes changes, its own at a pace and those of steps, one at a time, and notes what was agreed on.
type changes struct {
	publishers *Publishers
	pace       time.Duration

	mu        sync.Mutex // held during one publication
	published []Published
	number    int // of publications
	routines  int // changes of the row that were begun
	preferred int // publisher that is asked first; anyPublisher: another one each time

	done  chan struct{} // nil: not running at a pace
	ended chan error
}

// list gives all that was published so far.
func (c *changes) list() []Published {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.published)
}

// publish has a change made, by whichever publisher can.
func (c *changes) publish(ctx context.Context, request Request) (publisher.Publication, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.publishLocked(ctx, request)
}

func (c *changes) publishLocked(ctx context.Context, request Request) (publisher.Publication, error) {
	sent := time.Now()
	c.number++
	first := c.number
	if c.preferred != anyPublisher {
		first = c.preferred
	}
	publication, err := c.publishers.Change(ctx, first, request)
	if err == nil {
		c.published = append(c.published, Published{publication.Version, sent, time.Now()})
	}
	return publication, err
}

// prefer has a publisher asked first from now on, as the leader that need not pass requests on.
func (c *changes) prefer(index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = index
}

// Resources are contents of resources by name: a gatewayconfig.QuotaPlan, Class or RuntimeLimits, or a member's address.
type Resources map[string]any

// patchBody is the body of a request that sets and removes resources.
type patchBody struct {
	Set    Resources `json:"set,omitempty"`
	Remove []string  `json:"remove,omitempty"`
}

// contentBody is the body of a request that replaces the whole content.
type contentBody struct {
	QuotaPlans []gatewayconfig.QuotaPlan   `json:"plans"`
	Classes    []gatewayconfig.Class       `json:"profiles"`
	Limits     gatewayconfig.RuntimeLimits `json:"limits"`
	Peers      []string                    `json:"peers"`
}

// patch sets and removes resources.
func (c *changes) patch(ctx context.Context, set Resources, remove ...string) (publisher.Publication, error) {
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

// ContentRequest returns the request that replaces the whole content. It names no members.
func ContentRequest(plans []gatewayconfig.QuotaPlan, classes []gatewayconfig.Class) (Request, error) {
	body, err := json.Marshal(contentBody{
		QuotaPlans: plans,
		Classes:    classes,
		Limits:     fleet.RuntimeLimits(),
		Peers:      []string{},
	})
	return Request{http.MethodPut, configurationPath, string(body)}, err
}

// start publishes a change each pace from now on.
func (c *changes) start(ctx context.Context) {
	c.done = make(chan struct{})
	c.ended = make(chan error, 1)
	done := c.done
	go func() { c.ended <- c.run(ctx, done) }()
}

func (c *changes) run(ctx context.Context, done <-chan struct{}) error {
	ticker := time.NewTicker(c.pace)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return nil
		case <-ticker.C:
		}
		_, err := c.routine(ctx)
		if err != nil {
			return fmt.Errorf("changes: %w", err)
		}
	}
}

// stop ends the changes at a pace, the one under way at its end.
func (c *changes) stop() error {
	if c.done == nil {
		return nil
	}
	close(c.done)
	c.done = nil
	return <-c.ended
}

// routine makes the next of a row of changes: quota plans that come, change and go, and a request class and limits that
// change under load. Each differs from all before.
func (c *changes) routine(ctx context.Context) (publisher.Publication, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set, remove := routineChange(c.routines)
	c.routines++
	request, err := patchRequest(set, remove)
	if err != nil {
		return publisher.Publication{}, err
	}
	return c.publishLocked(ctx, request)
}

// routineChange gives the i-th change of the row.
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
		return Resources{string(configsync.LimitsName): limits}, nil
	}
	return nil, []string{name}
}

func planResource(name string) string  { return string(configsync.PlanPrefix) + name }
func classResource(name string) string { return string(configsync.ClassPrefix) + name }

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
