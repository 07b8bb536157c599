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
	probeIDPrefix = "feed" // prefix of the IDs of probes
	removedError  = "ERR plan: removed"
)

// clientsServed checks that at least minServedFraction of the clients' requests, probes excluded, succeeded.
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

// probe sends one request to a gateway under a quota plan, from the customer that is used for this gateway and plan
// only.
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

// probeError returns the error for a probe with an unexpected result.
func probeError(member int, plan string, request emulator.Request) error {
	return fmt.Errorf("%s: probe under plan %q: unexpected result %s, error text %q",
		fleet.GatewayName(member), plan, request.Result, request.ErrorText)
}

// probeCustomer returns the customer ID used for probes of one gateway and plan. The customer sends no other requests,
// so that its whole usage of the plan is what this gateway admitted. The IDs are above those of the load's customers.
func probeCustomer(member int, plan string) string {
	const first = 1 << 32
	return fmt.Sprintf("%016x", first+member<<16+int(configsync.PlanID(plan)&0xffff))
}

// checkServed returns an error unless a probe succeeds. Rejected probes are retried: the plan's quota has room for the
// probe, so a gateway rejects it only to protect its hosts, as it does shortly after a start.
func (r *Run) checkServed(ctx context.Context, member int, plan string) error {
	for {
		request := r.probe(member, plan)
		if request.Result == emulator.Succeeded {
			return nil
		}
		if request.Result != emulator.Rejected {
			return probeError(member, plan, request)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: all probes under plan %q were rejected: %w", fleet.GatewayName(member), plan, ctx.Err())
		case <-time.After(request.RetryAfter):
		}
	}
}

// checkRemoved returns an error unless a probe fails with the error for a removed plan.
func (r *Run) checkRemoved(member int, plan string) error {
	request := r.probe(member, plan)
	if request.Result != emulator.Failed || request.ErrorText != removedError {
		return fmt.Errorf("want the error for a removed plan: %w", probeError(member, plan, request))
	}
	return nil
}

// countAdmitted sends a number of probes from one customer and returns how many were admitted.
func (r *Run) countAdmitted(member int, plan string, requests int) (count int, err error) {
	for range requests {
		request := r.probe(member, plan)
		switch request.Result {
		case emulator.Succeeded:
			count++
		case emulator.Rejected:
		default:
			return count, probeError(member, plan, request)
		}
	}
	return count, nil
}

// forEachGateway calls fn for all gateways concurrently.
func (r *Run) forEachGateway(ctx context.Context, fn func(ctx context.Context, member int) error) error {
	return r.Fleet.ForEach(r.members(), func(g *fleet.Gateway) error { return fn(ctx, g.Index) })
}

// CheckPlanEffects returns a step that adds, removes, lowers and raises quota plans in one version and checks that each
// gateway applies them: requests under the added plan succeed, those under the removed plan fail, a lowered burst also
// limits customers who had a larger one, and a raised burst gives customers who had used theirs up no units at once.
func CheckPlanEffects() Step {
	return Step{"add, remove, lower and raise quota plans", func(ctx context.Context, r *Run) error {
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

// checkBeforePlanChanges checks that a gateway serves the plans of the first version, and uses up the burst that is
// raised later.
func (r *Run) checkBeforePlanChanges(ctx context.Context, member int) error {
	for plan, requests := range map[string]int{
		planRemoved: 1,
		planLowered: requestsBeforeLowering,
		planRaised:  burstBeforeRaising,
	} {
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
		return fmt.Errorf("%s: %d requests admitted under a burst that was used up and then raised, want none",
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
	admitted++ // the probe of checkServed
	if admitted > loweredBurst {
		return fmt.Errorf("%s: %d of %d requests admitted after the burst was lowered to %d",
			fleet.GatewayName(member), admitted, requestsAfterLowering+1, loweredBurst)
	}
	return nil
}

// CheckServed returns a step that checks that gateways serve a plan that exists in the published configuration but not
// in their configuration files.
func CheckServed(members ...int) Step {
	description := fmt.Sprintf("check that gateways %v serve requests by the published configuration", members)
	return Step{description, func(ctx context.Context, r *Run) error {
		return r.Fleet.ForEach(members, func(g *fleet.Gateway) error { return r.checkServed(ctx, g.Index, planKept) })
	}}
}
