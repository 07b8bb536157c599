package publisher

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"ravensill/configsync"
)

const (
	proposeTimeout  = 5 * time.Second // longest wait for a place in the leader's queue of proposals
	logIDBytes      = 16              // random bytes in a LogID, which is their hexadecimal form
	publishAttempts = 5               // how often publish tries while other versions are published in between
)

// NotLeaderError reports that this replica can't publish a change, because it is not the leader.
type NotLeaderError struct {
	Leader int // index of the leader; -1: not known
}

func (e *NotLeaderError) Error() string {
	if e.Leader < 0 {
		return "no leader is known at the moment"
	}
	return fmt.Sprintf("replica %d leads", e.Leader)
}

// VersionNotInHistoryError reports that a rollback is not possible, because the history doesn't hold the wanted
// version.
type VersionNotInHistoryError struct {
	Version configsync.Version // the version to roll back to
	Oldest  configsync.Version // oldest version in the history
	Latest  configsync.Version // latest version in the history
}

func (e *VersionNotInHistoryError) Error() string {
	return fmt.Sprintf("to: version %d is not in the history, which holds %d to %d", e.Version, e.Oldest, e.Latest)
}

// Publication is the result of a published change, which operators receive as JSON.
type Publication struct {
	Log     configsync.LogID   `json:"log"`
	Version configsync.Version `json:"version"`
	Digest  string             `json:"digest"`
	Changes int                `json:"changes"` // number of resources set or removed; 0: there is no new version
}

// changeFunc returns the changes to publish, computed from the current state. It is called with the publisher's lock
// held, and again if another version is published before its changes are.
type changeFunc func(state *configsync.State) ([]configsync.Change, error)

// putChangeFunc returns a changeFunc that replaces the complete content by wanted.
func putChangeFunc(wanted map[configsync.Resource][]byte) changeFunc {
	return func(state *configsync.State) ([]configsync.Change, error) {
		return state.Document().Diff(wanted), nil
	}
}

// patchChangeFunc returns a changeFunc with fixed changes, whatever the state is.
func patchChangeFunc(changes []configsync.Change) changeFunc {
	return func(*configsync.State) ([]configsync.Change, error) { return changes, nil }
}

// rollbackChangeFunc returns a changeFunc that restores the content of an earlier version.
func rollbackChangeFunc(to configsync.Version) changeFunc {
	return func(state *configsync.State) ([]configsync.Change, error) {
		changes, ok := state.History().RollbackChanges(to)
		if !ok {
			return nil, &VersionNotInHistoryError{to, state.History().Oldest(), state.History().Latest()}
		}
		return changes, nil
	}
}

// publish checks changes and publishes them as a new version, which is committed and applied at this replica once
// publish returns without an error. If base is not nil, it fails unless base is the current version; otherwise it
// recomputes the changes if another version was published in between. The error is a *NotLeaderError, a
// *VersionNotInHistoryError, a *configsync.ConflictError, a *config.ResourceError, or one of package consensus or of
// configsync.State.Check.
func (p *Publisher) publish(changesFor changeFunc, base *configsync.Version) (Publication, error) {
	p.publishMu.Lock()
	defer p.publishMu.Unlock()
	var err error
	for range publishAttempts {
		if !p.replica.IsLeader() {
			return Publication{}, &NotLeaderError{p.replica.LeaderIndex()}
		}
		var publication Publication
		publication, err = p.publishOnce(changesFor, base)
		var conflict *configsync.ConflictError
		if !errors.As(err, &conflict) || base != nil {
			return publication, err
		}
	}
	return Publication{}, err
}

// publishOnce is one attempt of publish. The error is a *configsync.ConflictError if another version was published in
// between. Changes that leave the content as it is succeed without a new version.
func (p *Publisher) publishOnce(changesFor changeFunc, base *configsync.Version) (Publication, error) {
	err := p.replica.Barrier(proposeTimeout)
	if err != nil {
		return Publication{}, err
	}
	err = p.ensureLog()
	if err != nil {
		return Publication{}, err
	}
	command, err := p.prepareCommand(changesFor, base)
	var unchanged *configsync.NoChangeError
	if errors.As(err, &unchanged) {
		return p.currentPublication(), nil
	}
	if err != nil {
		return Publication{}, err
	}
	delta, err := p.propose(command)
	if err != nil {
		return Publication{}, err
	}
	p.counters.publishedVersions.Add(1)
	slog.Info("configuration_published",
		"version", delta.To,
		"changes", len(delta.Changes),
		"digest", delta.Digest.Short(),
	)
	return newPublication(delta), nil
}

func newPublication(delta *configsync.Delta) Publication {
	return Publication{
		Log:     delta.Log,
		Version: delta.To,
		Digest:  delta.Digest.Hex(),
		Changes: len(delta.Changes),
	}
}

// currentPublication returns the result for a change that leaves the content as it is: the current version, with no
// changes.
func (p *Publisher) currentPublication() Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	document := p.state.Document()
	digest := document.Digest()
	return Publication{Log: document.Log(), Version: document.Version(), Digest: digest.Hex()}
}

// ensureLog creates the log of versions, with a random id, unless it exists. Only the first publication of a group of
// replicas creates one. If another leader has created the log in the meantime, that one is used.
func (p *Publisher) ensureLog() error {
	p.mu.Lock()
	created := p.state.Document().Log() != ""
	p.mu.Unlock()
	if created {
		return nil
	}
	random := make([]byte, logIDBytes)
	rand.Read(random)
	_, err := p.propose(&configsync.Command{CreateLog: configsync.LogID(hex.EncodeToString(random))})
	var exists *configsync.LogExistsError
	if errors.As(err, &exists) {
		return nil
	}
	return err
}

// prepareCommand returns the command that publishes changes, after checking them by the rules of configsync.State and
// by those of the gateways. The second check may decode the complete content, and runs without holding p.mu.
func (p *Publisher) prepareCommand(changesFor changeFunc, base *configsync.Version) (*configsync.Command, error) {
	command, update, err := p.buildCommand(changesFor, base)
	if err != nil {
		return nil, err
	}
	err = p.validator.apply(update)
	if err != nil {
		slog.Error("published_version_refused", "error", err)
	}
	contentAfter := func() []configsync.Change { return p.contentAfter(command.Changes) }
	err = p.validator.check(command.Changes, contentAfter)
	if err != nil {
		return nil, err
	}
	return command, nil
}

// buildCommand returns the command that publishes changes to the current state, checked by the rules of that state, and
// the update that brings the validator to the same state.
func (p *Publisher) buildCommand(
	changesFor changeFunc,
	base *configsync.Version,
) (*configsync.Command, validatorUpdate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	document := p.state.Document()
	if base != nil && *base != document.Version() {
		return nil, validatorUpdate{}, &configsync.ConflictError{Base: *base, Current: document.Version()}
	}
	changes, err := changesFor(p.state)
	if err != nil {
		return nil, validatorUpdate{}, err
	}
	command := configsync.NewCommand(document.Log(), document.Version(), changes)
	err = p.state.Check(command)
	if err != nil {
		return nil, validatorUpdate{}, err
	}
	return command, p.validator.updateTo(p.state), nil
}

// contentAfter returns the complete content as it would be after changes, in no particular order.
func (p *Publisher) contentAfter(changes []configsync.Change) []configsync.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := make(map[configsync.Resource]bool, len(changes))
	var content []configsync.Change
	for _, change := range changes {
		changed[change.Resource] = true
		if !change.IsRemoval() {
			content = append(content, change)
		}
	}
	for _, change := range p.state.Document().Changes() {
		if !changed[change.Resource] {
			content = append(content, change)
		}
	}
	return content
}

// propose proposes a command to the group of replicas and waits until it is committed and applied at this replica. It
// returns the new version as a delta, nil for a command that creates the log. The error is one of
// consensus.Proposal.Wait or the reason for which the state rejected the command.
func (p *Publisher) propose(command *configsync.Command) (*configsync.Delta, error) {
	text, err := configsync.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	result, err := p.replica.Propose(text, proposeTimeout).Wait()
	if err != nil {
		return nil, err
	}
	applied := result.(applyResult)
	return applied.delta, applied.err
}
