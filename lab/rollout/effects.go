package rollout

import (
	"context"
	"fmt"
	"time"

	"ravensill/configsync"
	"ravensill/lab/fleet"
	"ravensill/lab/standin"
)

const (
	probeWait    = 8 * time.Second // a probe's deadline
	removedError = "ERR plan: removed"
)

// probe sends one request of a customer on a quota plan to one gateway, as a client of its own.
func (r *Run) probe(member int, plan, customer string) standin.Req {
	number := r.probes.Add(1)
	request := standin.Req{ID: fmt.Sprintf("feed%012x", number), Customer: customer, Class: "lookup", Gateway: member}
	list := fmt.Sprintf("c=lookup,t=%s,d=%d,units=1,spread=1,first=%d", plan, probeWait.Milliseconds(), member)
	return r.Fleet.Clients.Send(request, list, "", false, probeWait)
}

// customerOf names a customer of its own for each gateway and plan, so that what one gateway admits is all that it uses.
// Its number is beyond those of the load's customers.
func customerOf(member int, plan string) string {
	const first = 1 << 32
	return fmt.Sprintf("%016x", first+member<<16+int(configsync.PlanID(plan)&0xffff))
}

// wantServed tells of a probe that did not succeed.
func (r *Run) wantServed(member int, plan string) error {
	answer := r.probe(member, plan, customerOf(member, plan))
	if answer.Result != standin.Passed {
		return fmt.Errorf("%s: a request on plan %q: %s %s", fleet.Name(member), plan, answer.Result, answer.Text)
	}
	return nil
}

// wantRemoved tells of a probe that was not answered by the error that says that its plan was removed.
func (r *Run) wantRemoved(member int, plan string) error {
	answer := r.probe(member, plan, customerOf(member, plan))
	if answer.Result != standin.Aborted || answer.Text != removedError {
		return fmt.Errorf("%s: a request on the removed plan %q: %s %q", fleet.Name(member), plan, answer.Result, answer.Text)
	}
	return nil
}

// passed sends so many probes of one customer and counts those that were admitted.
func (r *Run) passed(member int, plan string, requests int) (count int, err error) {
	for range requests {
		answer := r.probe(member, plan, customerOf(member, plan))
		switch answer.Result {
		case standin.Passed:
			count++
		case standin.Denied:
		default:
			return count, fmt.Errorf("%s: a request on plan %q: %s %s", fleet.Name(member), plan, answer.Result, answer.Text)
		}
	}
	return count, nil
}

// each does something for all gateways at once.
func (r *Run) each(do func(member int) error) error {
	return r.Fleet.Each(r.members(), func(g *fleet.Gateway) error { return do(g.Index) })
}

// Effects is the step that changes quota plans in one version and wants each gateway to decide by it: a plan that was
// added is served, one that was removed is answered by an error that says so, a lowered burst binds customers who had more.
func Effects() Step {
	return Step{"quota plans added, removed and lowered", func(ctx context.Context, r *Run) error {
		err := r.each(r.beforeEffects)
		if err != nil {
			return err
		}
		set := map[string]any{
			planResource(planAdded):   quotaPlan(unbounded, unbounded),
			planResource(planLowered): quotaPlan(slowRate, loweredTo),
		}
		publication, err := r.changes.patch(ctx, set, planResource(planRemoved))
		if err != nil {
			return err
		}
		err = r.inForce(ctx, publication.Version, r.members())
		if err != nil {
			return err
		}
		return r.each(r.afterEffects)
	}}
}

// beforeEffects looks how a gateway decides under the first version.
func (r *Run) beforeEffects(member int) error {
	err := r.wantServed(member, planRemoved)
	if err != nil {
		return err
	}
	admitted, err := r.passed(member, planLowered, beforeLower)
	if err == nil && admitted != beforeLower {
		err = fmt.Errorf("%s: %d of %d requests within the burst admitted", fleet.Name(member), admitted, beforeLower)
	}
	return err
}

// afterEffects looks how it decides once the plans have changed.
func (r *Run) afterEffects(member int) error {
	err := r.wantServed(member, planAdded)
	if err != nil {
		return err
	}
	err = r.wantRemoved(member, planRemoved)
	if err != nil {
		return err
	}
	admitted, err := r.passed(member, planLowered, afterLower)
	if err == nil && (admitted < 1 || admitted > loweredTo) {
		err = fmt.Errorf("%s: %d of %d requests admitted after the burst was lowered to %d", fleet.Name(member), admitted,
			afterLower, loweredTo)
	}
	return err
}

// Served is the step that wants gateways to serve a plan that the document alone names.
func Served(members ...int) Step {
	return Step{fmt.Sprintf("gateways %v serve by the document", members), func(_ context.Context, r *Run) error {
		return r.Fleet.Each(members, func(g *fleet.Gateway) error { return r.wantServed(g.Index, planKept) })
	}}
}
