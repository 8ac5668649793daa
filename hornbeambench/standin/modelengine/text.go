package modelengine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CompletionToken returns token n, counted from 1, of the response to a prompt. Each token is one
// word.
func CompletionToken(prompt string, n int) string {
	sum := xxhash.Sum64String(prompt + "#" + strconv.Itoa(n))
	word := "w" + strconv.FormatUint(sum%1_000_000, 36)
	if n == 1 {
		return word
	}
	return " " + word
}

// CompletionText returns the complete response of n tokens to a prompt. Responses are
// deterministic, so that a client can verify the response that it received.
func CompletionText(prompt string, n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		text.WriteString(CompletionToken(prompt, i))
	}
	return text.String()
}

// UserPrompt returns the prompt text of a request with a single user message.
func UserPrompt(content string) string { return "user:" + content + "\n" }

// countTokens returns the number of tokens of a text, which is its number of words.
func countTokens(text string) int { return len(strings.Fields(text)) }
