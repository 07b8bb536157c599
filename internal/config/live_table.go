package config

import "slices"

// table holds named settings by index. An index belongs to its name for as long as the process runs: it is not reused
// for another name, and a name that is set again after its removal has the same index as before.
type table[T comparable] struct {
	indexByName map[string]int // includes removed names
	entries     []tableEntry[T]
	count       int // entries in force
}

type tableEntry[T comparable] struct {
	name    string
	value   T // the last value if the entry is removed
	removed bool
}

// tableEdit is a set of changes to a table that is not yet in force.
type tableEdit[T comparable] struct {
	entries []stagedEntry[T] // in the order in which they were staged
	added   int              // names that had no index before
	count   int              // entries in force after the edit
}

type stagedEntry[T comparable] struct {
	index    int
	replaces bool // the name has a value in force
	tableEntry[T]
}

// newEdit returns an empty edit. It allocates space for the expected number of changes if that is more than one.
func (t *table[T]) newEdit(changes int) tableEdit[T] {
	edit := tableEdit[T]{count: t.count}
	if changes > 1 {
		edit.entries = make([]stagedEntry[T], 0, changes)
	}
	return edit
}

// set stages a value for a name. It stages nothing if the name has that value already. Each name must be staged at most
// once in an edit.
func (t *table[T]) set(edit *tableEdit[T], name string, value T) {
	staged := stagedEntry[T]{tableEntry: tableEntry[T]{name: name, value: value}}
	index, known := t.indexByName[name]
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

// remove stages the removal of a name. It stages nothing if the name is not in force.
func (t *table[T]) remove(edit *tableEdit[T], name string) {
	index, known := t.indexByName[name]
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

// commit puts an edit in force. The edit must have been started after the latest commit, because the indices that it
// gave to new names follow from the table's length then.
func (t *table[T]) commit(edit *tableEdit[T]) {
	if t.indexByName == nil {
		t.indexByName = make(map[string]int, edit.added)
	}
	t.entries = slices.Grow(t.entries, edit.added)
	for _, staged := range edit.entries {
		if staged.index == len(t.entries) {
			t.indexByName[staged.name] = staged.index
			t.entries = append(t.entries, staged.tableEntry)
			continue
		}
		t.entries[staged.index] = staged.tableEntry
	}
	t.count = edit.count
}
