package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

var (
	errNoObject = errors.New("not a JSON object")
	errNoList   = errors.New("not a list")
	errNegative = errors.New("below zero")
)

// objectReader reads values of one JSON object by path and keeps the first error. Absent keys read as zero.
type objectReader struct {
	object  gjson.Result
	prefix  string // of the object's keys in messages: its path and a dot
	err     error
	scanned int // bytes that all lookups may have scanned, so that a test sees how they grow
}

// newObjectReader returns a reader of the one object that a text contains. path is the object's place among the
// settings, empty for the settings themselves.
func newObjectReader(path, text string) (*objectReader, error) {
	if !gjson.Valid(text) || !gjson.Parse(text).IsObject() {
		if path == "" {
			return nil, errNoObject
		}
		return nil, keyError(path, errNoObject)
	}
	r := &objectReader{object: gjson.Parse(text)}
	if path != "" {
		r.prefix = path + "."
	}
	return r, nil
}

// fail records an error of the key at a path, unless there is one already.
func (r *objectReader) fail(path string, err error) {
	if r.err == nil {
		r.err = keyError(r.prefix+path, err)
	}
}

// get returns the value at a path, whatever its type.
func (r *objectReader) get(path string) gjson.Result {
	r.scanned += len(r.object.Raw)
	return r.object.Get(path)
}

// typed returns the value at a path, which has to be of one of the types wanted; null counts as absent.
func (r *objectReader) typed(path string, want ...gjson.Type) gjson.Result {
	value := r.get(path)
	if !value.Exists() || value.Type == gjson.Null || r.err != nil {
		return gjson.Result{}
	}
	if slices.Contains(want, value.Type) {
		return value
	}
	r.fail(path, fmt.Errorf("unexpected value %.40s", value.Raw))
	return gjson.Result{}
}

// number returns the number at a path, which can't be negative.
func (r *objectReader) number(path string) float64 {
	number := r.typed(path, gjson.Number).Num
	if number < 0 {
		r.fail(path, errNegative)
	}
	return number
}

func (r *objectReader) integer(path string) int { return int(r.number(path)) }

func (r *objectReader) boolean(path string) bool {
	return r.typed(path, gjson.True, gjson.False).Bool()
}

// microseconds returns the duration at a path, which is written in microseconds.
func (r *objectReader) microseconds(path string) time.Duration {
	return time.Duration(r.number(path) * float64(time.Microsecond))
}

// text returns a copy of the string at a path: a substring would keep the whole document in memory.
func (r *objectReader) text(path string) string {
	return strings.Clone(r.typed(path, gjson.String).Str)
}

// texts returns copies of the strings in the list at a path.
func (r *objectReader) texts(path string) (texts []string) {
	for _, element := range r.typed(path, gjson.JSON).Array() {
		texts = append(texts, strings.Clone(element.Str))
	}
	return texts
}

// choice returns the index of the string at a path among the choices; an absent key means the first.
func (r *objectReader) choice(path string, choices ...string) int {
	value := r.typed(path, gjson.String)
	if i := slices.Index(choices, value.Str); i >= 0 {
		return i
	}
	if value.Exists() {
		r.fail(path, fmt.Errorf("unknown word %q", value.Str))
	}
	return 0
}

// word returns the string at a path, which has to be one of the choices; an absent key means the first.
func (r *objectReader) word(path string, choices ...string) string {
	return choices[r.choice(path, choices...)]
}

// contains reports whether the key at a path is present and its value, whatever its type, reads as text.
func (r *objectReader) contains(path, text string) bool {
	value := r.get(path)
	return value.Exists() && value.String() == text
}

// each calls visit with a reader of every object in the list at path. The list is scanned once, and each reader scans
// its object alone, so that the cost grows with the length of the list, not with its square.
func (r *objectReader) each(path string, visit func(item *objectReader)) {
	list := r.get(path)
	if list.Exists() && !list.IsArray() {
		r.fail(path, errNoList)
	}
	if !list.IsArray() {
		return
	}
	index := 0
	list.ForEach(func(_, value gjson.Result) bool {
		item := &objectReader{prefix: r.prefix + elementPath(path, index) + ".", err: r.err}
		if value.IsObject() { // anything else has no keys
			item.object = value
		}
		visit(item)
		r.err = item.err
		r.scanned += item.scanned
		index++
		return true
	})
}

// elementPath returns the path of an element of a list.
func elementPath(list string, index int) string { return list + "." + strconv.Itoa(index) }
