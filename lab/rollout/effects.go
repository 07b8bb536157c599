package rollout

import (
	"context"
	"fmt"
	"strings"
	"time"

	"ravensill/configsync"
	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
)

const (
	probeIDPrefix = "feed" // of the ids of probes
	removedError  = "ERR plan: removed"
)

// clientsServed is a check: most of the clients' requests beside the probes succeeded.
var clientsServed = fleet.Check{Name: "clients served", FindViolation: func(r *fleet.Report) string {
	sent := 0
	succeeded := 0
	for i := range r.Clients.Requests {
		request := &r.Clients.Requests[i]
		if strings.HasPrefix(request.ID, probeIDPrefix) {
			continue
		}
		sent++
		if request.Result == emulator.Succeeded {
			succeeded++
		}
	}
	if float64(succeeded) < minServedFraction*float64(sent) {
		return fmt.Sprintf("%d of %d requests succeeded", succeeded, sent)
	}
	return ""
}}

// probe sends one request of the plan's own customer on a quota plan to one gateway.
func (r *Run) probe(member int, plan string) emulator.Request {
	request := emulator.Request{
		ID:       fmt.Sprintf("%s%012x", probeIDPrefix, r.probesSent.Add(1)),
		Customer: probeCustomer(member, plan),
		Class:    "lookup",
		Gateway:  member,
	}
	timeout := clientTimeout.Milliseconds()
	arguments := fmt.Sprintf("c=lookup,t=%s,d=%d,units=1,spread=1,first=%d", plan, timeout, member)
	return r.Fleet.Clients.Send(request, arguments, "", false, clientTimeout)
}

// probeError returns the error of a probe with an unexpected result.
func probeError(member int, plan string, answer emulator.Request) error {
	return fmt.Errorf("%s: a request on plan %q: %s %q", fleet.GatewayName(member), plan, answer.Result, answer.ErrorText)
}

// probeCustomer returns a separate customer for each gateway and plan, so that one gateway's admissions are all that the
// customer uses. Its number is above those of the load's customers.
func probeCustomer(member int, plan string) string {
	const first = 1 << 32
	return fmt.Sprintf("%016x", first+member<<16+int(configsync.PlanID(plan)&0xffff))
}

// checkServed returns an error unless a probe succeeds. The plan's quota admits it, so that a gateway may reject it
// only to protect its hosts, as just after a start: such a probe is retried.
func (r *Run) checkServed(ctx context.Context, member int, plan string) error {
	for {
		answer := r.probe(member, plan)
		if answer.Result == emulator.Succeeded {
			return nil
		}
		if answer.Result != emulator.Rejected {
			return probeError(member, plan, answer)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: requests on plan %q are rejected: %w", fleet.GatewayName(member), plan, ctx.Err())
		case <-time.After(answer.RetryAfter):
		}
	}
}

// checkRemoved returns an error unless a probe is answered by the error of a plan that was removed.
func (r *Run) checkRemoved(member int, plan string) error {
	answer := r.probe(member, plan)
	if answer.Result != emulator.Failed || answer.ErrorText != removedError {
		return fmt.Errorf("removed plan: %w", probeError(member, plan, answer))
	}
	return nil
}

// countAdmitted sends a number of probes of one customer and returns how many were admitted.
func (r *Run) countAdmitted(member int, plan string, requests int) (count int, err error) {
	for range requests {
		answer := r.probe(member, plan)
		switch answer.Result {
		case emulator.Succeeded:
			count++
		case emulator.Rejected:
		default:
			return count, probeError(member, plan, answer)
		}
	}
	return count, nil
}

// forEachGateway calls a function for all gateways at once.
func (r *Run) forEachGateway(ctx context.Context, fn func(ctx context.Context, member int) error) error {
	return r.Fleet.ForEach(r.members(), func(g *fleet.Gateway) error { return fn(ctx, g.Index) })
}

// CheckPlanEffects returns a step that changes quota plans in one version and checks that each gateway decides by it:
// an added plan is served, a removed one is answered by an error, a lowered burst binds customers who had more, and a
// raised burst admits nothing at once to customers who had used theirs up.
func CheckPlanEffects() Step {
	return Step{"quota plans added, removed and lowered", func(ctx context.Context, r *Run) error {
		err := r.forEachGateway(ctx, r.checkBeforePlanChanges)
		if err != nil {
			return err
		}
		set := Resources{
			planResource(planAdded):   quotaPlan(unlimited, unlimited),
			planResource(planLowered): quotaPlan(slowRate, loweredBurst),
			planResource(planRaised):  quotaPlan(2*slowRate, highBurst),
		}
		publication, err := r.changes.patch(ctx, set, planResource(planRemoved))
		if err != nil {
			return err
		}
		err = r.waitInForce(ctx, publication.Version, r.members())
		if err != nil {
			return err
		}
		return r.forEachGateway(ctx, r.checkAfterPlanChanges)
	}}
}

// checkBeforePlanChanges checks how a gateway decides by the first version.
func (r *Run) checkBeforePlanChanges(ctx context.Context, member int) error {
	for plan, requests := range map[string]int{planRemoved: 1, planLowered: requestsBeforeLowering, planRaised: burstBeforeRaising} {
		for range requests {
			err := r.checkServed(ctx, member, plan)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// checkAfterPlanChanges checks how a gateway decides once the plans have changed.
func (r *Run) checkAfterPlanChanges(ctx context.Context, member int) error {
	err := r.checkServed(ctx, member, planAdded)
	if err != nil {
		return err
	}
	err = r.checkRemoved(member, planRemoved)
	if err != nil {
		return err
	}
	admitted, err := r.countAdmitted(member, planRaised, requestsAfterRaising)
	if err != nil {
		return err
	}
	if admitted > 0 {
		return fmt.Errorf("%s: %d requests admitted by a burst that was used up and then raised",
			fleet.GatewayName(member), admitted)
	}
	err = r.checkServed(ctx, member, planLowered)
	if err != nil {
		return err
	}
	admitted, err = r.countAdmitted(member, planLowered, requestsAfterLowering)
	if err != nil {
		return err
	}
	admitted++ // by checkServed
	if admitted > loweredBurst {
		return fmt.Errorf("%s: %d of %d requests admitted after the burst was lowered to %d",
			fleet.GatewayName(member), admitted, requestsAfterLowering+1, loweredBurst)
	}
	return nil
}

// CheckServed returns a step that checks that gateways serve a plan that only the published configuration names.
func CheckServed(members ...int) Step {
	description := fmt.Sprintf("gateways %v serve by the published configuration", members)
	return Step{description, func(ctx context.Context, r *Run) error {
		return r.Fleet.ForEach(members, func(g *fleet.Gateway) error { return r.checkServed(ctx, g.Index, planKept) })
	}}
}
