package publisher

import (
	"fmt"

	"ravensill/configsync"
	"ravensill/internal/config"
)

// mirror has the current version decoded by the code of the gateways, so that the cost of checking a change is
// proportional to the change.
type mirror struct {
	live    *config.Live // nil: to be decoded again
	version configsync.Version
	digest  configsync.Digest
}

// mirrorUpdate leads a mirror to the current version.
type mirrorUpdate struct {
	changes  []configsync.Change
	complete bool // the changes are the complete content
	version  configsync.Version
	digest   configsync.Digest
}

// updateTo returns the update that leads the mirror to a state. The state must not change during the call. The result
// stays valid after it, since values are never changed in place.
func (m *mirror) updateTo(state *configsync.State) mirrorUpdate {
	document := state.Document()
	update := mirrorUpdate{version: document.Version(), digest: document.Digest()}
	digest, known := state.History().DigestAt(m.version)
	delta, ok := state.History().DeltaSince(m.version)
	if m.live != nil && known && ok && digest == m.digest {
		update.changes = delta.Changes
		return update
	}
	update.changes = document.Changes()
	update.complete = true
	return update
}

// apply applies an update. On an error the mirror is dropped: the published version is not valid for this program, as
// after an upgrade with stricter rules.
func (m *mirror) apply(update mirrorUpdate) error {
	if update.complete {
		m.live = config.NewLiveChecker()
	}
	m.version = update.version
	m.digest = update.digest
	if len(update.changes) == 0 {
		return nil
	}
	_, err := m.live.Apply(update.changes, update.complete)
	if err != nil {
		m.live = nil
		return fmt.Errorf("version %d: %w", update.version, err)
	}
	return nil
}

// check returns the error of a gateway of the current version that applies changes. If the mirror was dropped, it
// checks the complete content after the changes.
func (m *mirror) check(changes []configsync.Change, contentAfter func() []configsync.Change) error {
	if m.live != nil {
		return m.live.Check(changes, false)
	}
	return config.NewLiveChecker().Check(contentAfter(), true)
}
