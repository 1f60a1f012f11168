package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

const (
	objectCompletion       = "text_completion"
	objectChat             = "chat.completion"
	objectChatChunk        = "chat.completion.chunk"
	defaultMaxTokens       = 256
	finishStop             = "stop"
	roleAssistant          = "assistant"
	maxMessages            = 10_000
	endOfStream            = "[DONE]"
	completionIDPrefix     = "cmpl-"
	chatCompletionIDPrefix = "chatcmpl-"
	messageSeparator       = "\n"
	messageRoleTerminator  = ": "
)

type (
	completionBody struct {
		Model     string          `json:"model"`
		Prompt    json.RawMessage `json:"prompt"`
		Messages  []message       `json:"messages"`
		MaxTokens *int            `json:"max_tokens"`
		MaxNew    *int            `json:"max_completion_tokens"`
		Stream    bool            `json:"stream"`
		N         *int            `json:"n"`
	}

	message struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}

	contentPart struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}

	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}

	choice struct {
		Index        int          `json:"index"`
		Text         *string      `json:"text,omitempty"`
		Message      *chatMessage `json:"message,omitempty"`
		Delta        *chatMessage `json:"delta,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}

	chatMessage struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	// parsedBody is a validated completion request.
	parsedBody struct {
		model     string
		prompt    string
		maxTokens int
		stream    bool
		chat      bool
	}
)

// parseBody validates a completion request. Its errors are sent to the caller.
func parseBody(data []byte, chat bool, maxTokens int) (parsedBody, error) {
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil {
		return parsedBody{}, fmt.Errorf("the body is not valid JSON: %w", err)
	}
	if body.Model == "" {
		return parsedBody{}, fmt.Errorf("model: missing")
	}
	if body.N != nil && *body.N != 1 {
		return parsedBody{}, fmt.Errorf("n: only 1 is served")
	}
	prompt, err := body.promptText(chat)
	if err != nil {
		return parsedBody{}, err
	}
	tokens, err := body.tokenLimit(maxTokens)
	if err != nil {
		return parsedBody{}, err
	}
	return parsedBody{model: body.Model, prompt: prompt, maxTokens: tokens, stream: body.Stream, chat: chat}, nil
}

func (b completionBody) tokenLimit(maxTokens int) (int, error) {
	wanted := b.MaxNew
	if wanted == nil {
		wanted = b.MaxTokens
	}
	if wanted == nil {
		return min(defaultMaxTokens, maxTokens), nil
	}
	if *wanted < 1 || *wanted > maxTokens {
		return 0, fmt.Errorf("max_tokens: must be from 1 to %d", maxTokens)
	}
	return *wanted, nil
}

func (b completionBody) promptText(chat bool) (string, error) {
	if chat {
		return chatPrompt(b.Messages)
	}
	var prompt string
	if err := json.Unmarshal(b.Prompt, &prompt); err != nil {
		return "", fmt.Errorf("prompt: must be one string")
	}
	if prompt == "" {
		return "", fmt.Errorf("prompt: must not be empty")
	}
	return prompt, nil
}

func chatPrompt(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", fmt.Errorf("messages: must not be empty")
	}
	if len(messages) > maxMessages {
		return "", fmt.Errorf("messages: at most %d", maxMessages)
	}
	var prompt strings.Builder
	for i, m := range messages {
		content, err := m.text()
		if err != nil {
			return "", fmt.Errorf("messages[%d].content: %w", i, err)
		}
		if m.Role == "" {
			return "", fmt.Errorf("messages[%d].role: missing", i)
		}
		prompt.WriteString(m.Role + messageRoleTerminator + content + messageSeparator)
	}
	return prompt.String(), nil
}

func (m message) text() (string, error) {
	var content string
	if json.Unmarshal(m.Content, &content) == nil {
		return content, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("must be a string or a list of text parts")
	}
	var text strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("parts of type %q are not served", p.Type)
		}
		text.WriteString(p.Text)
	}
	return text.String(), nil
}

// fullCompletion returns a response that is not streamed.
func (p parsedBody) fullCompletion(id string, now time.Time, text string, counts usage) completion {
	stop := finishStop
	c := choice{FinishReason: &stop}
	if p.chat {
		c.Message = &chatMessage{Role: roleAssistant, Content: text}
	} else {
		c.Text = &text
	}
	return completion{
		ID: p.id(id), Object: p.object(false), Created: now.Unix(), Model: p.model,
		Choices: []choice{c}, Usage: &counts,
	}
}

// tokenEvent returns the event of one token in a streamed response.
func (p parsedBody) tokenEvent(id string, now time.Time, text string, first, last bool) completion {
	var c choice
	if p.chat {
		c.Delta = &chatMessage{Content: text}
		if first {
			c.Delta.Role = roleAssistant
		}
	} else {
		c.Text = &text
	}
	if last {
		stop := finishStop
		c.FinishReason = &stop
	}
	return completion{ID: p.id(id), Object: p.object(true), Created: now.Unix(), Model: p.model, Choices: []choice{c}}
}

func (p parsedBody) id(id string) string {
	if p.chat {
		return chatCompletionIDPrefix + id
	}
	return completionIDPrefix + id
}

func (p parsedBody) object(stream bool) string {
	switch {
	case p.chat && stream:
		return objectChatChunk
	case p.chat:
		return objectChat
	}
	return objectCompletion
}
