use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequestArgs};
use futures::StreamExt;

use crate::fleet::{Fleet, FleetConfig, KEY, MODEL, assert_complete};

const PROMPT: &str = "Draft the donor summary";
/// The prompt that engines get for a conversation with this message.
const ENGINE_PROMPT: &str = "user: Draft the donor summary\n";

fn client(fleet: &Fleet) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", fleet.daemons[0].address);
    Client::with_config(OpenAIConfig::new().with_api_key(KEY).with_api_base(base))
}

fn split_tokens(text: &str) -> Vec<String> {
    text.split_inclusive(' ').map(str::to_owned).collect()
}

#[test]
fn stock_client_unchanged() {
    let fleet = Fleet::start(&FleetConfig::default());
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let client = client(&fleet);
        let message = ChatCompletionRequestUserMessageArgs::default().content(PROMPT).build().unwrap();
        let mut request = CreateChatCompletionRequestArgs::default();
        request.model(MODEL).max_completion_tokens(50_u32).messages([message.into()]);

        let completion = client.chat().create(request.build().unwrap()).await.unwrap();
        let text = completion.choices[0].message.content.clone().unwrap();
        assert_complete(ENGINE_PROMPT, &split_tokens(&text), 50);
        assert_eq!(completion.usage.unwrap().completion_tokens, 50);

        let mut stream = client.chat().create_stream(request.build().unwrap()).await.unwrap();
        let mut text = String::new();
        while let Some(chunk) = stream.next().await {
            for choice in chunk.unwrap().choices {
                text.push_str(&choice.delta.content.unwrap_or_default());
            }
        }
        assert_complete(ENGINE_PROMPT, &split_tokens(&text), 50);

        let models = client.models().list().await.unwrap();
        assert_eq!(models.data[0].id, MODEL);
    });
}
