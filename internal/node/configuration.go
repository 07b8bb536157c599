package node

import (
	"errors"
	"log"

	"ravensill/configsync"
	"ravensill/gateway"
	"ravensill/internal/clients"
	"ravensill/internal/config"
	"ravensill/internal/peers"
)

// mostAdjustedLines bounds the log lines on settings that one version led to: a document may hold thousands of them.
const mostAdjustedLines = 20

// ErrEnded is told of a revision that came when the gateway had ended.
var ErrEnded = errors.New("the gateway has ended")

// revision is a version of the configuration that is checked and waits to be put in force.
type revision struct {
	*config.Revision
	version configsync.Version
	inForce chan struct{} // closed then
}

// Apply puts a revision in force between two batches of events, and returns once it is. It is called by the task
// that follows the publishers, with one revision at a time. The error is ErrEnded.
func (n *Node) Apply(version configsync.Version, changes *config.Revision) error {
	next := revision{Revision: changes, version: version, inForce: make(chan struct{})}
	select {
	case n.work <- func() { n.waiting = append(n.waiting, next) }:
	case <-n.over:
		return ErrEnded
	}
	select {
	case <-next.inForce:
		return nil
	case <-n.over:
		return ErrEnded
	}
}

// putInForce puts the revisions that wait in force, and tells whether there were any. It is called after a turn: all that
// came in before has been decided under the version before.
func (n *Node) putInForce() bool {
	waiting := n.waiting
	n.waiting = nil
	for i := range waiting {
		n.guard("configuration", func() { n.put(&waiting[i]) })
		close(waiting[i].inForce)
	}
	return len(waiting) > 0
}

// put changes all that goes by the configuration, the module first: no other part may name an index that it lacks.
func (n *Node) put(next *revision) {
	n.module.Reconfigure(n.now(), &next.Update)
	if next.Update.Limits != nil {
		n.cfg.Limits = *next.Update.Limits
	}
	n.putClasses(next.Classes)
	n.catalog.Apply(catalogEdit(next.Revision))
	n.putMembers(next.Revision)
	n.logRevision(next)
}

func (n *Node) putClasses(changes []config.ClassChange) {
	for _, change := range changes {
		if change.Index == len(n.classes) {
			n.classes = append(n.classes, gateway.Frontend{})
		}
		n.classes[change.Index] = change.Class
		n.pool.named(change.Index, change.Name)
	}
}

// catalogEdit tells what commands may name from now on.
func catalogEdit(next *config.Revision) clients.Edit {
	edit := clients.Edit{Members: next.MemberCount}
	for i := range next.Update.Plans {
		update := &next.Update.Plans[i]
		edit.Plans = append(edit.Plans, clients.PlanEdit{
			Index:   update.Index,
			Name:    next.PlanNames[i],
			Most:    mostUnits(&update.Plan),
			Removed: update.Removed,
		})
	}
	for _, change := range next.Classes {
		edit.Classes = append(edit.Classes, clients.ClassEdit{
			Index:   change.Index,
			Name:    change.Name,
			Effect:  change.Class.Effect,
			Removed: change.Removed,
		})
	}
	return edit
}

func (n *Node) putMembers(next *config.Revision) {
	if n.post == nil || len(next.Members) == 0 && next.Update.Members == 0 {
		return
	}
	changed := make([]peers.Member, 0, len(next.Members))
	for _, member := range next.Members {
		changed = append(changed, peers.Member{Index: member.Index, Address: member.Address})
	}
	n.post.Change(changed, next.MemberCount)
}

func (n *Node) logRevision(next *revision) {
	for i, adjusted := range next.Adjusted {
		if i == mostAdjustedLines {
			log.Printf("event=settings_adjusted more=%d", len(next.Adjusted)-i)
			break
		}
		log.Printf("event=settings_adjusted key=%q meaning=%q", adjusted.Key, adjusted.Meaning)
	}
	log.Printf("event=configuration_applied version=%d plans=%d classes=%d members=%d", next.version, next.PlanCount,
		next.ClassCount, next.MemberCount)
}
