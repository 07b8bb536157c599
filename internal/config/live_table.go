package config

import "slices"

// table contains named settings by index. An index belongs to its name for as long as the process runs: it is reused
// for no other name, and a name that returns after a removal has the same index.
type table[T comparable] struct {
	indices map[string]int // by name
	entries []tableEntry[T]
	count   int // entries in force
}

type tableEntry[T comparable] struct {
	name    string
	value   T // the last one, where the entry is removed
	removed bool
}

// tableEdit is a change of a table that is not yet in force, with its entries in the order in which they were staged.
type tableEdit[T comparable] struct {
	entries []stagedEntry[T]
	added   int // names that had no index
	count   int // entries in force after the edit
}

type stagedEntry[T comparable] struct {
	index    int
	replaces bool // a value is in force
	tableEntry[T]
}

// edit returns an empty edit with capacity for changes of some names.
func (t *table[T]) edit(names int) tableEdit[T] {
	edit := tableEdit[T]{count: t.count}
	if names > 1 {
		edit.entries = make([]stagedEntry[T], 0, names)
	}
	return edit
}

// set stages a value. A value that is in force already changes nothing.
func (t *table[T]) set(edit *tableEdit[T], name string, value T) {
	staged := stagedEntry[T]{tableEntry: tableEntry[T]{name: name, value: value}}
	index, known := t.indices[name]
	if !known {
		index = len(t.entries) + edit.added
		edit.added++
	}
	staged.index = index
	staged.replaces = known && !t.entries[index].removed
	if staged.replaces && t.entries[index].value == value {
		return
	}
	if !staged.replaces {
		edit.count++
	}
	edit.entries = append(edit.entries, staged)
}

// remove stages the removal of a name. A name that is not in force changes nothing.
func (t *table[T]) remove(edit *tableEdit[T], name string) {
	index, known := t.indices[name]
	if !known || t.entries[index].removed {
		return
	}
	edit.count--
	edit.entries = append(edit.entries, stagedEntry[T]{
		index:      index,
		replaces:   true,
		tableEntry: tableEntry[T]{name: name, value: t.entries[index].value, removed: true},
	})
}

// removeOthers stages the removal of all names in force for which keep is false.
func (t *table[T]) removeOthers(edit *tableEdit[T], keep func(name string) bool) {
	for i := range t.entries {
		entry := &t.entries[i]
		if !entry.removed && !keep(entry.name) {
			t.remove(edit, entry.name)
		}
	}
}

// commit puts an edit in force. It must be the only edit since the last commit.
func (t *table[T]) commit(edit *tableEdit[T]) {
	if t.indices == nil {
		t.indices = make(map[string]int, edit.added)
	}
	t.entries = slices.Grow(t.entries, edit.added)
	for _, staged := range edit.entries {
		if staged.index == len(t.entries) {
			t.indices[staged.name] = staged.index
			t.entries = append(t.entries, staged.tableEntry)
			continue
		}
		t.entries[staged.index] = staged.tableEntry
	}
	t.count = edit.count
}
