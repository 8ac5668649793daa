package requestpath

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
)

func question(content string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               "letters",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
		MaxCompletionTokens: openai.Int(20),
	}
}

// Guards against answers that a widely used client library cannot read, streamed or whole.
func TestOpenAIClient(t *testing.T) {
	c := qt.New(t)
	f := start(t)
	client := openai.NewClient(option.WithBaseURL(f.url+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
	ctx := context.Background()
	want := modelengine.CompletionText(modelengine.UserPrompt("a letter to Mikocheni"), 20)

	whole, err := client.Chat.Completions.New(ctx, question("a letter to Mikocheni"))
	c.Assert(err, qt.IsNil)
	c.Assert(whole.Choices[0].Message.Content, qt.Equals, want)
	c.Assert(whole.Choices[0].FinishReason, qt.Equals, "stop")
	c.Assert(whole.Usage.CompletionTokens, qt.Equals, int64(20))

	stream := client.Chat.Completions.NewStreaming(ctx, question("a letter to Mikocheni"))
	var gathered openai.ChatCompletionAccumulator
	for stream.Next() {
		c.Assert(gathered.AddChunk(stream.Current()), qt.IsTrue)
	}
	c.Assert(stream.Err(), qt.IsNil)
	c.Assert(gathered.Choices[0].Message.Content, qt.Equals, want)
	c.Assert(gathered.Usage.TotalTokens, qt.Equals, int64(0), qt.Commentf("the caller did not ask for usage"))

	models, err := client.Models.List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(models.Data, qt.HasLen, 2)

	_, err = client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model: "unknown", Messages: question("x").Messages,
	})
	var failure *openai.Error
	c.Assert(err, qt.ErrorAs, &failure)
	c.Assert(failure.Code, qt.Equals, "unknown_model")
}
