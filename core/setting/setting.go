// Package setting reads INI text into typed values. Each value is described by
// a Key, so that unknown keys are refused and reference pages are generated
// from the same table that is checked.
package setting

import (
	"fmt"

	"gopkg.in/ini.v1"
)

type (
	// Key describes one setting: where it stands, its default and its meaning.
	Key struct {
		Section string
		Name    string
		Default string
		Help    string
	}

	// Binding connects a key with the value it sets.
	Binding struct {
		Key
		Set func(text string) error
	}

	// KeyError says which key of a text is wrong.
	KeyError struct {
		Section string
		Name    string
		Reason  string
	}
)

// Error implements error.
func (e KeyError) Error() string {
	return fmt.Sprintf("[%s] %s: %s", e.Section, e.Name, e.Reason)
}

// Bind returns a binding. An empty standard value leaves the key optional.
func Bind(section, name, standard, help string, set func(string) error) Binding {
	return Binding{Key: Key{Section: section, Name: name, Default: standard, Help: help}, Set: set}
}

// Keys returns the keys of the bindings in order.
func Keys(bindings []Binding) []Key {
	keys := make([]Key, 0, len(bindings))
	for _, b := range bindings {
		keys = append(keys, b.Key)
	}
	return keys
}

// Parse sets every binding from the text or its default. It refuses unknown
// keys. Errors about a key are of type KeyError.
func Parse(text []byte, bindings []Binding) error {
	file, err := ini.Load(text)
	if err != nil {
		return fmt.Errorf("not valid INI: %w", err)
	}
	if err := refuseUnknown(file, bindings); err != nil {
		return err
	}
	for _, b := range bindings {
		if err := b.Set(valueOf(file, b.Key)); err != nil {
			return KeyError{Section: b.Section, Name: b.Name, Reason: err.Error()}
		}
	}
	return nil
}

func valueOf(file *ini.File, key Key) string {
	section := file.Section(key.Section)
	if section.HasKey(key.Name) {
		return section.Key(key.Name).String()
	}
	return key.Default
}

func refuseUnknown(file *ini.File, bindings []Binding) error {
	known := make(map[[2]string]bool, len(bindings))
	for _, b := range bindings {
		known[[2]string{b.Section, b.Name}] = true
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if !known[[2]string{section.Name(), key.Name()}] {
				return KeyError{Section: section.Name(), Name: key.Name(), Reason: "unknown key"}
			}
		}
	}
	return nil
}
