package setting

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Difference is one key whose value differs between two texts.
type Difference struct {
	Section string `json:"section"`
	Name    string `json:"name"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
	Removed bool   `json:"removed,omitempty"` // not in the new text
	Added   bool   `json:"added,omitempty"`   // not in the old text
}

// Diff returns the keys that differ between two INI texts: first those of the old
// text in its order, then the added ones in the order of the new text.
func Diff(oldText, newText []byte) ([]Difference, error) {
	before, err := ini.LoadSources(loadOptions, oldText)
	if err != nil {
		return nil, fmt.Errorf("old text is not valid INI: %w", err)
	}
	after, err := ini.LoadSources(loadOptions, newText)
	if err != nil {
		return nil, fmt.Errorf("new text is not valid INI: %w", err)
	}
	differences := compare(before, after)
	for _, d := range compare(after, before) {
		if d.Removed {
			differences = append(differences, Difference{Section: d.Section, Name: d.Name, New: d.Old, Added: true})
		}
	}
	return differences, nil
}

// compare returns the keys of before that are missing in after or have another
// value there.
func compare(before, after *ini.File) []Difference {
	var differences []Difference
	for _, section := range before.Sections() {
		for _, key := range section.Keys() {
			d := Difference{Section: section.Name(), Name: key.Name(), Old: key.Value()}
			if other := after.Section(section.Name()); other.HasKey(key.Name()) {
				d.New = other.Key(key.Name()).Value()
			} else {
				d.Removed = true
			}
			if d.Removed || d.New != d.Old {
				differences = append(differences, d)
			}
		}
	}
	return differences
}
