// Package setting reads INI text into typed values. Each value is described by
// a Key, so that unknown keys are rejected and the reference pages are generated
// from the same table that texts are checked against.
package setting

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

type (
	// Key describes one setting: its section and name, default and meaning.
	Key struct {
		Section string
		Name    string
		Default string
		Help    string
	}

	// Binding connects a key with the function that parses and stores its value.
	Binding struct {
		Key
		Set func(text string) error
	}

	// KeyError is the error for one invalid key of a text.
	KeyError struct {
		Section string
		Name    string
		Reason  string
	}

	// Errors holds an error for each invalid key of a text.
	Errors []KeyError
)

// loadOptions keep every occurrence of a key, so that duplicates are detected.
var loadOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	SpaceBeforeInlineComment:   true,
}

// Error implements error.
func (e KeyError) Error() string {
	return fmt.Sprintf("[%s] %s: %s", e.Section, e.Name, e.Reason)
}

// Bind returns a binding. A key with an empty default is optional, unless set
// rejects the empty text as Required does.
func Bind(section, name, defaultValue, help string, set func(string) error) Binding {
	return Binding{Key: Key{Section: section, Name: name, Default: defaultValue, Help: help}, Set: set}
}

// Keys returns the keys of the bindings in the same order.
func Keys(bindings []Binding) []Key {
	keys := make([]Key, 0, len(bindings))
	for _, b := range bindings {
		keys = append(keys, b.Key)
	}
	return keys
}

// Error implements error.
func (e Errors) Error() string {
	texts := make([]string, 0, len(e))
	for _, err := range e {
		texts = append(texts, err.Error())
	}
	return strings.Join(texts, "; ")
}

// Unwrap returns the errors of the single keys.
func (e Errors) Unwrap() []error {
	single := make([]error, 0, len(e))
	for _, err := range e {
		single = append(single, err)
	}
	return single
}

// Parse sets every binding from the text or from its default. It rejects unknown
// and duplicate keys. The error is of type Errors and names all invalid keys,
// unless the text is not valid INI.
func Parse(text []byte, bindings []Binding) error {
	file, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		return fmt.Errorf("not valid INI: %w", err)
	}
	invalid := checkKeys(file, bindings)
	for _, b := range bindings {
		if err := b.Set(valueOf(file, b.Key)); err != nil {
			invalid = append(invalid, KeyError{Section: b.Section, Name: b.Name, Reason: err.Error()})
		}
	}
	if len(invalid) > 0 {
		return invalid
	}
	return nil
}

func valueOf(file *ini.File, key Key) string {
	section := file.Section(key.Section)
	if section.HasKey(key.Name) {
		return section.Key(key.Name).Value()
	}
	return key.Default
}

// checkKeys returns errors for the keys that are unknown or set more than once.
func checkKeys(file *ini.File, bindings []Binding) Errors {
	known := make(map[[2]string]bool, len(bindings))
	for _, b := range bindings {
		known[[2]string{b.Section, b.Name}] = true
	}
	var invalid Errors
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			switch {
			case !known[[2]string{section.Name(), key.Name()}]:
				invalid = append(invalid, KeyError{Section: section.Name(), Name: key.Name(), Reason: "unknown key"})
			case len(key.ValueWithShadows()) > 1:
				invalid = append(invalid, KeyError{Section: section.Name(), Name: key.Name(), Reason: "set more than once"})
			}
		}
	}
	return invalid
}
