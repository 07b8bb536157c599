package node

import (
	"errors"
	"log/slog"

	"ravensill/configsync"
	"ravensill/gateway"
	"ravensill/internal/clients"
	"ravensill/internal/config"
	"ravensill/internal/peers"
)

// maxAdjustedLogLines limits the log lines on adjusted settings of one version: a version may contain thousands of
// such settings.
const maxAdjustedLogLines = 20

// ErrStopped is the error of ApplyConfiguration if the gateway stops before it has applied the revision.
var ErrStopped = errors.New("configuration not applied: the gateway has stopped")

// revision is a validated version of the configuration that waits to be applied.
type revision struct {
	*config.Revision
	version configsync.Version
	applied chan struct{} // closed once the revision is applied
}

// ApplyConfiguration applies a validated revision between two batches of events and waits until that is done. Any
// goroutine but the loop's may call it, with one revision at a time. It fails only with ErrStopped.
func (n *Node) ApplyConfiguration(version configsync.Version, changes *config.Revision) error {
	next := revision{Revision: changes, version: version, applied: make(chan struct{})}
	select {
	case n.inbox <- func() { n.pendingRevisions = append(n.pendingRevisions, next) }:
	case <-n.loopEnded:
		return ErrStopped
	}
	select {
	case <-next.applied:
		return nil
	case <-n.loopEnded:
		return ErrStopped
	}
}

// applyPendingRevisions applies the pending revisions and reports whether there were any. It is called after an
// iteration, so that events that were collected before a revision are decided under the version before it.
func (n *Node) applyPendingRevisions() bool {
	pending := n.pendingRevisions
	n.pendingRevisions = nil
	for i := range pending {
		n.recoverPanics("configuration", func() { n.applyRevision(&pending[i]) })
		close(pending[i].applied)
	}
	return len(pending) > 0
}

// applyRevision applies a revision to every part of the gateway. The module comes first, since events that the other
// parts send it must not contain the index of a plan, class or member that it does not know.
func (n *Node) applyRevision(next *revision) {
	n.module.Reconfigure(n.now(), &next.Update)
	if next.Update.Limits != nil {
		n.cfg.Limits = *next.Update.Limits
	}
	n.applyClasses(next.Classes)
	n.catalog.Apply(catalogEdit(next.Revision))
	n.applyMembers(next.Revision)
	n.logRevision(next)
}

// applyClasses updates the request classes. A class whose index is the number of classes is new.
func (n *Node) applyClasses(changes []config.ClassChange) {
	for _, change := range changes {
		if change.Index == len(n.classes) {
			n.classes = append(n.classes, gateway.RequestClass{})
		}
		n.classes[change.Index] = change.Class
		n.quota.addClass(change.Index, change.Name)
	}
}

// catalogEdit returns the changes of a revision to the plans, classes and members that clients may name in commands.
func catalogEdit(next *config.Revision) clients.CatalogEdit {
	edit := clients.CatalogEdit{Members: next.MemberCount}
	for i := range next.Update.Plans {
		update := &next.Update.Plans[i]
		edit.Plans = append(edit.Plans, clients.PlanEdit{
			Index:    update.Index,
			Name:     next.PlanNames[i],
			MaxUnits: maxUnits(&update.Plan),
			Removed:  update.Removed,
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

// applyMembers updates the addresses of peers. A gateway without gossip ignores them.
func (n *Node) applyMembers(next *config.Revision) {
	if n.peerTransport == nil || len(next.Members) == 0 && next.Update.Members == 0 {
		return
	}
	changed := make([]peers.Member, 0, len(next.Members))
	for _, member := range next.Members {
		changed = append(changed, peers.Member{Index: member.Index, Address: member.Address})
	}
	n.peerTransport.UpdateMembers(changed, next.MemberCount)
}

// logRevision logs an applied revision, with the settings that were adjusted in it.
func (n *Node) logRevision(next *revision) {
	for i, adjusted := range next.Adjusted {
		if i == maxAdjustedLogLines {
			slog.Warn("settings_adjusted", "more", len(next.Adjusted)-i)
			break
		}
		slog.Warn("settings_adjusted", "key", adjusted.Key, "meaning", adjusted.Meaning)
	}
	slog.Info("configuration_applied",
		"version", next.version,
		"plans", next.PlanCount,
		"classes", next.ClassCount,
		"members", next.MemberCount,
	)
}
