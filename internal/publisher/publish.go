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
	proposeTimeout = 5 * time.Second // for a place in the leader's queue
	logIDBytes     = 16              // random bytes of a LogID
	draftAttempts  = 5               // attempts when another leader publishes a version in between
)

// NotLeaderError reports that this replica does not lead.
type NotLeaderError struct {
	Leader int // index of the leading replica; -1: not known
}

func (e *NotLeaderError) Error() string {
	if e.Leader < 0 {
		return "no leader is known at the moment"
	}
	return fmt.Sprintf("replica %d leads", e.Leader)
}

// VersionNotInHistoryError reports that a rollback to a version is not possible, since the history doesn't reach it.
type VersionNotInHistoryError struct {
	Version configsync.Version
	Oldest  configsync.Version // the earliest possible one
	Latest  configsync.Version
}

func (e *VersionNotInHistoryError) Error() string {
	return fmt.Sprintf("to: version %d is not in the history, which holds %d to %d", e.Version, e.Oldest, e.Latest)
}

// Publication is the result of a change.
type Publication struct {
	Log     configsync.LogID   `json:"log"`
	Version configsync.Version `json:"version"`
	Digest  string             `json:"digest"`
	Changes int                `json:"changes"` // resources set or removed; 0: there is no new version
}

// draft returns the changes to publish for the current state. It is called again if another version is published first.
type draft func(state *configsync.State) ([]configsync.Change, error)

// putDraft returns a draft that replaces the complete content.
func putDraft(wanted map[configsync.Resource][]byte) draft {
	return func(state *configsync.State) ([]configsync.Change, error) {
		return state.Document().Diff(wanted), nil
	}
}

// patchDraft returns a draft with the given changes.
func patchDraft(changes []configsync.Change) draft {
	return func(*configsync.State) ([]configsync.Change, error) { return changes, nil }
}

// rollbackDraft returns a draft that restores the content of a version.
func rollbackDraft(to configsync.Version) draft {
	return func(state *configsync.State) ([]configsync.Change, error) {
		changes, ok := state.History().RollbackChanges(to)
		if !ok {
			return nil, &VersionNotInHistoryError{to, state.History().Oldest(), state.History().Latest()}
		}
		return changes, nil
	}
}

// publish checks changes and proposes them as a new version, which is in force once it returns. If base is not nil,
// it has to be the current version. The error is a *NotLeaderError, a *HistoryError, one of consensus, of
// configsync.State.Check, or a *config.ResourceError.
func (p *Publisher) publish(changesFor draft, base *configsync.Version) (Publication, error) {
	p.publishing.Lock()
	defer p.publishing.Unlock()
	var err error
	for range draftAttempts {
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

func (p *Publisher) publishOnce(changesFor draft, base *configsync.Version) (Publication, error) {
	err := p.replica.Barrier(proposeTimeout)
	if err != nil {
		return Publication{}, err
	}
	err = p.createLog()
	if err != nil {
		return Publication{}, err
	}
	command, err := p.prepare(changesFor, base)
	var unchanged *configsync.NoChangeError
	if errors.As(err, &unchanged) {
		return p.current(), nil
	}
	if err != nil {
		return Publication{}, err
	}
	delta, err := p.propose(command)
	if err != nil {
		return Publication{}, err
	}
	p.counters.published.Add(1)
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

// current returns the current version, as the result of a change that changes nothing.
func (p *Publisher) current() Publication {
	p.mu.Lock()
	defer p.mu.Unlock()
	document := p.state.Document()
	digest := document.Digest()
	return Publication{Log: document.Log(), Version: document.Version(), Digest: digest.Hex()}
}

// createLog creates the log of versions if there is none.
func (p *Publisher) createLog() error {
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

// prepare returns the command for changes, after checking them by the rules of the state and of the gateways.
func (p *Publisher) prepare(changesFor draft, base *configsync.Version) (*configsync.Command, error) {
	command, update, err := p.draftCommand(changesFor, base)
	if err != nil {
		return nil, err
	}
	err = p.mirror.apply(update)
	if err != nil {
		slog.Error("published_version_refused", "error", err)
	}
	contentAfter := func() []configsync.Change { return p.contentAfter(command.Changes) }
	err = p.mirror.check(command.Changes, contentAfter)
	if err != nil {
		return nil, err
	}
	return command, nil
}

// draftCommand returns a command for the current state, and the update that leads the mirror to that state.
func (p *Publisher) draftCommand(
	changesFor draft,
	base *configsync.Version,
) (*configsync.Command, mirrorUpdate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	document := p.state.Document()
	if base != nil && *base != document.Version() {
		return nil, mirrorUpdate{}, &configsync.ConflictError{Base: *base, Current: document.Version()}
	}
	changes, err := changesFor(p.state)
	if err != nil {
		return nil, mirrorUpdate{}, err
	}
	command := configsync.NewCommand(document.Log(), document.Version(), changes)
	err = p.state.Check(command)
	if err != nil {
		return nil, mirrorUpdate{}, err
	}
	return command, p.mirror.updateTo(p.state), nil
}

// contentAfter returns the complete content after changes.
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

// propose proposes a command to the group and waits until it is committed and applied here.
func (p *Publisher) propose(command *configsync.Command) (*configsync.Delta, error) {
	text, err := configsync.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	result, err := p.replica.Propose(text, proposeTimeout).Wait()
	if err != nil {
		return nil, err
	}
	applied := result.(outcome)
	return applied.delta, applied.err
}
