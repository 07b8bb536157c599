package config

import (
	"slices"

	"ravensill/configsync"
)

// Restore returns the configuration of a gateway that starts with a stored document: that of its file, base, with the
// quota plans, request classes, limits and members of the document in place of the file's. Later changes are applied to
// the returned Live. On an error, a *ResourceError, the gateway can start with base and NewLive(base) instead. base is
// not changed.
func Restore(base *Config, document []configsync.Change) (*Config, *Live, error) {
	live := newLive(base)
	edit, err := live.stage(document, true)
	if err != nil {
		return nil, nil, err
	}
	edit.initial = true
	revision := live.commit(edit)
	restored := *base
	settings := *base.Settings
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

// inForce returns the names and values of a table by index. No entry may have been removed, as in a new table.
func (t *table[T]) inForce() (names []string, values []T) {
	names = make([]string, 0, len(t.entries))
	values = make([]T, 0, len(t.entries))
	for i := range t.entries {
		names = append(names, t.entries[i].name)
		values = append(values, t.entries[i].value)
	}
	return names, values
}
