package config

import "slices"

// table holds named settings by an index that stands for its name for the life of the process: a removed name keeps its
// index, so that it is given to no other, and has it again should it return.
type table[T comparable] struct {
	indices map[string]int // by name
	entries []tableEntry[T]
	count   int // entries in force
}

type tableEntry[T comparable] struct {
	name    string
	value   T // as it was last, where it is removed
	removed bool
}

// tableEdit is a change of a table that is checked but not yet in force. Its entries are sorted as they were staged.
type tableEdit[T comparable] struct {
	entries []stagedEntry[T]
	added   int // names that had no index
	count   int // entries in force after the edit
}

type stagedEntry[T comparable] struct {
	index int
	had   bool // a value was in force before
	tableEntry[T]
}

// edit begins a change of some names.
func (t *table[T]) edit(names int) tableEdit[T] {
	edit := tableEdit[T]{count: t.count}
	if names > 1 {
		edit.entries = make([]stagedEntry[T], 0, names)
	}
	return edit
}

// set stages a value. A value that is in force already is no change.
func (t *table[T]) set(edit *tableEdit[T], name string, value T) {
	staged := stagedEntry[T]{tableEntry: tableEntry[T]{name: name, value: value}}
	index, known := t.indices[name]
	if !known {
		index = len(t.entries) + edit.added
		edit.added++
	} else if old := &t.entries[index]; !old.removed {
		if old.value == value {
			return
		}
		staged.had = true
	}
	if !staged.had {
		edit.count++
	}
	staged.index = index
	edit.entries = append(edit.entries, staged)
}

// remove stages the end of a name. One that is not in force is no change.
func (t *table[T]) remove(edit *tableEdit[T], name string) {
	index, known := t.indices[name]
	if !known || t.entries[index].removed {
		return
	}
	edit.count--
	edit.entries = append(edit.entries, stagedEntry[T]{
		index:      index,
		had:        true,
		tableEntry: tableEntry[T]{name: name, value: t.entries[index].value, removed: true},
	})
}

// removeOthers stages the end of all names in force for which keep is false.
func (t *table[T]) removeOthers(edit *tableEdit[T], keep func(name string) bool) {
	for i := range t.entries {
		entry := &t.entries[i]
		if !entry.removed && !keep(entry.name) {
			t.remove(edit, entry.name)
		}
	}
}

// commit puts an edit in force. It must be the only one begun since the last commit.
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
