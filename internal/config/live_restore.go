package config

import (
	"slices"

	"ravensill/configsync"
)

// Restore gives the configuration of a gateway that starts with a document which it holds already: the file's, with the
// document's quota plans, request classes, limits and members in place of its own. The Live goes on from there. Where
// the document can't be taken, a *ResourceError, the gateway starts with base and NewLive(base).
func Restore(base *Config, document []configsync.Change) (*Config, *Live, error) {
	live := newLive(base)
	edit, err := live.stage(document, true)
	if err != nil {
		return nil, nil, err
	}
	edit.fromNothing = true
	revision := live.commit(edit)
	restored, settings := *base, *base.Settings
	restored.Settings = &settings
	settings.PlanNames, settings.Plans = live.plans.inForce()
	settings.ClassNames, settings.Classes = live.classes.inForce()
	settings.Limits = live.limits
	settings.Adjusted = slices.Concat(settings.Adjusted, revision.Adjusted)
	count, addresses := live.members.inForce()
	settings.Membership.Count = count
	if settings.Membership.Gossip && base.PeerListen.IsValid() {
		restored.Peers = slices.Clone(addresses)
	}
	return &restored, live, nil
}

// inForce lists a table none of whose entries was removed, by index.
func (t *table[T]) inForce() (names []string, values []T) {
	names, values = make([]string, 0, len(t.entries)), make([]T, 0, len(t.entries))
	for i := range t.entries {
		names = append(names, t.entries[i].name)
		values = append(values, t.entries[i].value)
	}
	return names, values
}
