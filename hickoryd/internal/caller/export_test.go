package caller

import (
	"encoding/json"
	"time"
)

const testID = "test"

// MarshalEvent marshals an event in full.
func MarshalEvent(chat bool, model, text string, created time.Time, first, last bool) (string, error) {
	data, err := json.Marshal(parsedBody{model: model, chat: chat}.tokenEvent(testID, created, text, first, last))
	return string(data), err
}

// TemplateEvent encodes an event with a new template.
func TemplateEvent(chat bool, model, text string, created time.Time, first, last bool) (string, error) {
	template, err := newEventTemplate(parsedBody{model: model, chat: chat}, testID, created)
	if err != nil {
		return "", err
	}
	data, err := template.appendEvent(nil, text, first, last)
	return string(data), err
}

// TemplateLoop returns a function that encodes events with one shared template.
func TemplateLoop() func(bool, string, string, time.Time, bool, bool) (string, error) {
	var template *eventTemplate
	var buffer []byte
	return func(chat bool, model, text string, created time.Time, first, last bool) (string, error) {
		if template == nil {
			made, err := newEventTemplate(parsedBody{model: model, chat: chat}, testID, created)
			if err != nil {
				return "", err
			}
			template = &made
		}
		var err error
		buffer, err = template.appendEvent(buffer[:0], text, first, last)
		return "", err
	}
}
