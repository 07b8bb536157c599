package publisher

import (
	"fmt"

	"ravensill/configsync"
	"ravensill/internal/config"
)

// validator checks changes by the code with which gateways apply them. It keeps the current version decoded, so that
// the cost of a check is proportional to the size of the change rather than of the configuration. The zero value is
// ready for use. It is not safe for concurrent use.
type validator struct {
	live    *config.Live       // nil: no version is decoded; the next update has to be complete
	version configsync.Version // the version that live holds
	digest  configsync.Digest  // digest of the content of that version
}

// validatorUpdate brings a validator to a version.
type validatorUpdate struct {
	changes  []configsync.Change
	complete bool // the changes are the complete content, not those since the validator's version
	version  configsync.Version
	digest   configsync.Digest
}

// updateTo returns the update that brings the validator to the current version of a state. It has only the changes
// since the validator's version if the state's history holds that version with the same digest, and otherwise the
// complete content. The state must not change during the call. The result stays valid after it, since the state never
// modifies the values of resources in place.
func (v *validator) updateTo(state *configsync.State) validatorUpdate {
	document := state.Document()
	update := validatorUpdate{version: document.Version(), digest: document.Digest()}
	digest, inHistory := state.History().DigestAt(v.version)
	delta, hasDelta := state.History().DeltaSince(v.version)
	if v.live != nil && inHistory && hasDelta && digest == v.digest {
		update.changes = delta.Changes
		return update
	}
	update.changes = document.Changes()
	update.complete = true
	return update
}

// apply applies an update. An error means that this program rejects the published version, which happens after an
// upgrade to a release with stricter rules. The validator then holds no decoded version.
func (v *validator) apply(update validatorUpdate) error {
	if update.complete {
		v.live = config.NewLiveChecker()
	}
	v.version = update.version
	v.digest = update.digest
	if len(update.changes) == 0 {
		return nil
	}
	_, err := v.live.Apply(update.changes, update.complete)
	if err != nil {
		v.live = nil
		return fmt.Errorf("decode published version %d: %w", update.version, err)
	}
	return nil
}

// check returns the error that a gateway with the current version would report for changes, or nil. If the validator
// holds no decoded version, it checks the complete content that contentAfter returns, so that a change which repairs
// the configuration can still be published.
func (v *validator) check(changes []configsync.Change, contentAfter func() []configsync.Change) error {
	if v.live != nil {
		return v.live.Check(changes, false)
	}
	return config.NewLiveChecker().Check(contentAfter(), true)
}
