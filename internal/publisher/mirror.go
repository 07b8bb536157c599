package publisher

import (
	"fmt"

	"ravensill/configsync"
	"ravensill/internal/config"
)

// mirror keeps the decoded configuration at the current version, by the gateways' own code, so that a change is checked at
// the cost of what it touches.
type mirror struct {
	live    *config.Live // nil: made anew at the next use
	version configsync.Version
	digest  configsync.Digest
}

// catchUp is what leads a mirror on to the current version.
type catchUp struct {
	changes []configsync.Change
	whole   bool
	version configsync.Version
	digest  configsync.Digest
}

// behind tells what the mirror lacks of a state. The state must not change meanwhile; the values that the result holds
// never do.
func (m *mirror) behind(state *configsync.State) catchUp {
	document := state.Document()
	next := catchUp{version: document.Version(), digest: document.Digest()}
	digest, known := state.History().DigestAt(m.version)
	delta, ok := state.History().Since(m.version)
	if m.live != nil && known && ok && digest == m.digest {
		next.changes = delta.Changes
		return next
	}
	next.changes = document.Changes()
	next.whole = true
	return next
}

// follow leads the mirror on. Where it can't take what is published already, as by an earlier program, the mirror
// is given up, and the error tells why.
func (m *mirror) follow(next catchUp) error {
	if next.whole {
		m.live = config.NewLiveChecker()
	}
	m.version = next.version
	m.digest = next.digest
	if len(next.changes) == 0 {
		return nil
	}
	_, err := m.live.Apply(next.changes, next.whole)
	if err != nil {
		m.live = nil
		return fmt.Errorf("version %d: %w", next.version, err)
	}
	return nil
}

// check tells why a gateway that holds the current version could not take changes, or nil. Where there is no mirror, it is
// the whole content after the changes that is checked.
func (m *mirror) check(changes []configsync.Change, contentAfter func() []configsync.Change) error {
	if m.live != nil {
		return m.live.Check(changes, false)
	}
	return config.NewLiveChecker().Check(contentAfter(), true)
}
