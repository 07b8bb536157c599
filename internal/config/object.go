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
	errNotObject = errors.New("not a JSON object")
	errNotList   = errors.New("not a list")
	errNegative  = errors.New("below zero")
)

// objectReader reads values of one JSON object by path, such as "limits.probes", and keeps the first error. Absent keys
// read as zero.
type objectReader struct {
	object       gjson.Result
	prefix       string // put before keys in messages: the path of the object and a dot, or empty
	err          error
	scannedBytes int // upper bound of the bytes scanned by all lookups; a test checks how it grows
}

// newObjectReader returns a reader of the JSON object that text consists of. path is the place of the object under the
// key settings, empty for the settings themselves or another object whose keys need no prefix.
func newObjectReader(path, text string) (*objectReader, error) {
	if !gjson.Valid(text) || !gjson.Parse(text).IsObject() {
		if path == "" {
			return nil, errNotObject
		}
		return nil, keyError(path, errNotObject)
	}
	r := &objectReader{object: gjson.Parse(text)}
	if path != "" {
		r.prefix = path + "."
	}
	return r, nil
}

// fail records an error of the key at path, unless an error is recorded already.
func (r *objectReader) fail(path string, err error) {
	if r.err == nil {
		r.err = keyError(r.prefix+path, err)
	}
}

// get returns the value at path, whatever its type.
func (r *objectReader) get(path string) gjson.Result {
	r.scannedBytes += len(r.object.Raw)
	return r.object.Get(path)
}

// typed returns the value at path, which has to be of one of the given types. It returns the zero value if the key is
// absent or null, or if an error is recorded.
func (r *objectReader) typed(path string, types ...gjson.Type) gjson.Result {
	value := r.get(path)
	if !value.Exists() || value.Type == gjson.Null || r.err != nil {
		return gjson.Result{}
	}
	if slices.Contains(types, value.Type) {
		return value
	}
	r.fail(path, fmt.Errorf("unexpected value %.40s", value.Raw))
	return gjson.Result{}
}

// number returns the number at path, which must not be negative.
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

// microseconds returns the duration at path, a number of microseconds.
func (r *objectReader) microseconds(path string) time.Duration {
	return time.Duration(r.number(path) * float64(time.Microsecond))
}

// text returns a copy of the string at path: a substring would keep the whole document in memory.
func (r *objectReader) text(path string) string {
	return strings.Clone(r.typed(path, gjson.String).Str)
}

// texts returns copies of the strings in the list at path.
func (r *objectReader) texts(path string) (texts []string) {
	for _, element := range r.typed(path, gjson.JSON).Array() {
		texts = append(texts, strings.Clone(element.Str))
	}
	return texts
}

// choiceIndex returns the index of the string at path among the choices. An absent key means the first choice.
func (r *objectReader) choiceIndex(path string, choices ...string) int {
	value := r.typed(path, gjson.String)
	if i := slices.Index(choices, value.Str); i >= 0 {
		return i
	}
	if value.Exists() {
		r.fail(path, fmt.Errorf("unknown word %q", value.Str))
	}
	return 0
}

// choice returns the string at path, which has to be one of the choices. An absent key means the first choice.
func (r *objectReader) choice(path string, choices ...string) string {
	return choices[r.choiceIndex(path, choices...)]
}

// valueIs reports whether the key at path is present and its value, whatever its type, equals text as a string.
func (r *objectReader) valueIs(path, text string) bool {
	value := r.get(path)
	return value.Exists() && value.String() == text
}

// eachObject calls visit with a reader of each element of the list at path; an element that is not an object has no
// keys. The list is scanned once, and each reader scans its object alone, so that the cost is proportional to the
// length of the list and not to its square.
func (r *objectReader) eachObject(path string, visit func(item *objectReader)) {
	list := r.get(path)
	if list.Exists() && !list.IsArray() {
		r.fail(path, errNotList)
	}
	if !list.IsArray() {
		return
	}
	index := 0
	list.ForEach(func(_, value gjson.Result) bool {
		item := &objectReader{prefix: r.prefix + elementPath(path, index) + ".", err: r.err}
		if value.IsObject() { // any other element reads as an object without keys
			item.object = value
		}
		visit(item)
		r.err = item.err
		r.scannedBytes += item.scannedBytes
		index++
		return true
	})
}

// elementPath returns the path of one element of the list at a path, such as "plans.3".
func elementPath(list string, index int) string { return list + "." + strconv.Itoa(index) }
