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

// maxAdjustedLines is the most log lines on adjusted settings of one version: a document may contain thousands.
const maxAdjustedLines = 20

// ErrStopped is the error for a revision that came after the gateway had ended.
var ErrStopped = errors.New("the gateway has ended")

// revision is a checked version of the configuration that is not in force yet.
type revision struct {
	*config.Revision
	version configsync.Version
	inForce chan struct{} // closed once it is in force
}

// ApplyConfiguration puts a revision in force between two batches of events, and returns once it is. The subscriber calls it
// with one revision at a time. The error is ErrEnded.
func (n *Node) ApplyConfiguration(version configsync.Version, changes *config.Revision) error {
	next := revision{Revision: changes, version: version, inForce: make(chan struct{})}
	select {
	case n.work <- func() { n.pendingRevisions = append(n.pendingRevisions, next) }:
	case <-n.ended:
		return ErrStopped
	}
	select {
	case <-next.inForce:
		return nil
	case <-n.ended:
		return ErrStopped
	}
}

// applyPending puts the pending revisions in force and reports whether there were any. It is called after an
// iteration: earlier events are decided under the earlier version.
func (n *Node) applyPending() bool {
	pending := n.pendingRevisions
	n.pendingRevisions = nil
	for i := range pending {
		n.recoverPanics("configuration", func() { n.applyRevision(&pending[i]) })
		close(pending[i].inForce)
	}
	return len(pending) > 0
}

// applyRevision applies a revision to every part of the gateway, first to the module: no other part may name an
// index that it lacks.
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

func (n *Node) applyClasses(changes []config.ClassChange) {
	for _, change := range changes {
		if change.Index == len(n.classes) {
			n.classes = append(n.classes, gateway.RequestClass{})
		}
		n.classes[change.Index] = change.Class
		n.quota.addClass(change.Index, change.Name)
	}
}

// catalogEdit returns what commands may name from now on.
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

func (n *Node) logRevision(next *revision) {
	for i, adjusted := range next.Adjusted {
		if i == maxAdjustedLines {
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
