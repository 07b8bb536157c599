package configsync

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// checkResource returns a *MalformedError unless a resource name has one of the valid forms and lengths.
func checkResource(resource Resource) error {
	name := string(resource)
	if len(name) > MaxResourceNameBytes {
		return &MalformedError{resource, "resource name too long"}
	}
	if !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl) {
		return &MalformedError{resource, "resource name is not printable UTF-8"}
	}
	if name == LimitsResource {
		return nil
	}
	for _, prefix := range []string{PlanPrefix, ClassPrefix} {
		rest, found := strings.CutPrefix(name, prefix)
		if found && rest != "" {
			return nil
		}
	}
	index, found := strings.CutPrefix(name, MemberPrefix)
	if !found {
		return &MalformedError{resource, "unknown kind of resource"}
	}
	return checkMemberIndex(resource, index)
}

// checkMemberIndex accepts only the shortest decimal form of a member index, so that each member has exactly one
// resource name.
func checkMemberIndex(resource Resource, index string) error {
	number, err := strconv.ParseUint(index, 10, 32)
	if err != nil || number >= MaxMembers || strconv.FormatUint(number, 10) != index {
		return &MalformedError{resource, "invalid member index"}
	}
	return nil
}

// checkChanges returns a *MalformedError if a resource name is invalid, a value is too long, or the changes aren't
// sorted by resource with each resource at most once.
func checkChanges(changes []Change) error {
	for i := range changes {
		change := &changes[i]
		if err := checkResource(change.Resource); err != nil {
			return err
		}
		if len(change.Value) > MaxValueBytes {
			return &MalformedError{change.Resource, "value too long"}
		}
		if i > 0 && changes[i-1].Resource >= change.Resource {
			return &MalformedError{change.Resource, "changes are not sorted by resource, or name it twice"}
		}
	}
	return nil
}

// checkLogID returns a *MalformedError if a log ID is invalid.
func checkLogID(log LogID) error {
	if log == "" || len(log) > MaxLogIDBytes || !utf8.ValidString(string(log)) {
		return &MalformedError{Reason: "log ID is empty, too long or not UTF-8"}
	}
	return nil
}

// size returns the number of bytes of the resource name and the value.
func (c *Change) size() int { return len(c.Resource) + len(c.Value) }

// changesSize returns the total size of changes, in bytes of names and values.
func changesSize(changes []Change) int {
	size := 0
	for i := range changes {
		size += changes[i].size()
	}
	return size
}
