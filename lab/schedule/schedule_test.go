package schedule

import (
	"slices"
	"testing"
)

func TestUntilYieldsEventsByTimeThenOrderOfAddition(t *testing.T) {
	var s Schedule[string]
	s.Add(30, "third")
	s.Add(10, "first")
	s.Add(30, "fourth")
	s.Add(20, "second")
	s.Add(31, "late")
	var got []string
	for at, event := range s.Until(30) {
		got = append(got, event)
		if event == "second" {
			s.Add(at, "added")
		}
	}
	want := []string{"first", "second", "added", "third", "fourth"}
	if !slices.Equal(got, want) {
		t.Errorf("events are %v, want %v", got, want)
	}
	if s.Len() != 1 {
		t.Errorf("%d events left, want only the late one", s.Len())
	}
}

func TestUntilKeepsEventsAfterBreak(t *testing.T) {
	var s Schedule[int]
	s.Add(1, 1)
	s.Add(2, 2)
	for range s.Until(2) {
		break
	}
	at, event := s.Next()
	if at != 2 || event != 2 {
		t.Errorf("next event is %d at time %d, want 2 at time 2", event, at)
	}
}
