package requestpath

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
)

func chatParams(content string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               "letters",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
		MaxCompletionTokens: openai.Int(20),
	}
}

// Guards against responses, streamed or not, that OpenAI's Go client library cannot parse.
func TestOpenAIClient(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t)
	client := openai.NewClient(option.WithBaseURL(f.url+"/v1/"), option.WithAPIKey(apiKey), option.WithMaxRetries(0))
	ctx := context.Background()
	want := modelengine.CompletionText(modelengine.UserPrompt("a letter to Mikocheni"), 20)

	completion, err := client.Chat.Completions.New(ctx, chatParams("a letter to Mikocheni"))
	c.Assert(err, qt.IsNil)
	c.Assert(completion.Choices[0].Message.Content, qt.Equals, want)
	c.Assert(completion.Choices[0].FinishReason, qt.Equals, "stop")
	c.Assert(completion.Usage.CompletionTokens, qt.Equals, int64(20))

	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("a letter to Mikocheni"))
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		c.Assert(accumulated.AddChunk(stream.Current()), qt.IsTrue)
	}
	c.Assert(stream.Err(), qt.IsNil)
	c.Assert(accumulated.Choices[0].Message.Content, qt.Equals, want)
	c.Assert(accumulated.Usage.TotalTokens, qt.Equals, int64(0), qt.Commentf("the request does not set stream_options.include_usage"))

	models, err := client.Models.List(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(models.Data, qt.HasLen, 2)

	_, err = client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{
		Model: "unknown", Messages: chatParams("x").Messages,
	})
	var apiError *openai.Error
	c.Assert(err, qt.ErrorAs, &apiError)
	c.Assert(apiError.Code, qt.Equals, "unknown_model")
}
