package configsync

import (
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// checkResource returns an error if the name of a resource is not valid.
func checkResource(resource Resource) error {
	name := string(resource)
	if len(name) > MaxResourceNameBytes {
		return &MalformedError{resource, "name too long"}
	}
	if !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl) {
		return &MalformedError{resource, "name not printable UTF-8"}
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
	return checkMember(resource, index)
}

// checkMember accepts only the shortest decimal form of a member index, so that each member has one name.
func checkMember(resource Resource, index string) error {
	number, err := strconv.ParseUint(index, 10, 32)
	if err != nil || number >= MaxMembers || strconv.FormatUint(number, 10) != index {
		return &MalformedError{resource, "not a member index"}
	}
	return nil
}

// checkChanges returns an error if the names, the values or the order of changes are not valid.
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
			return &MalformedError{change.Resource, "not in order, or named twice"}
		}
	}
	return nil
}

func checkLog(log LogID) error {
	if log == "" || len(log) > MaxLogIDBytes || !utf8.ValidString(string(log)) {
		return &MalformedError{Reason: "not a log's identity"}
	}
	return nil
}

// size returns the number of bytes of a change's name and value.
func (c *Change) size() int { return len(c.Resource) + len(c.Value) }

func changesSize(changes []Change) int {
	size := 0
	for i := range changes {
		size += changes[i].size()
	}
	return size
}
