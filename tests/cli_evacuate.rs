//! `dogwoodctl evacuate`: what is written and what is reported.

mod platform_support;

use {
    dogwoodbridge::conf::Evacuations,
    platform_support::{FakePlatform, Faults, ctl::ctl},
};

struct Step {
    arguments: &'static [&'static str],
    zones: &'static [&'static str],
}

/// Answers to writes are lost, and the same zone is named twice. An operator
/// who is told of a zone that is not on the list would shut it down under load.
#[tokio::test]
async fn zones_are_evacuated_and_taken_back_whatever_answers_are_lost() {
    let fake = FakePlatform::new().await;
    let platform = fake.address.to_string();
    let steps = [
        Step {
            arguments: &["evacuate", "a"],
            zones: &["a"],
        },
        Step {
            arguments: &["evacuate", "b"],
            zones: &["a", "b"],
        },
        Step {
            arguments: &["evacuate", "b"],
            zones: &["a", "b"],
        },
        Step {
            arguments: &["evacuate", "a", "--take-back"],
            zones: &["b"],
        },
        Step {
            arguments: &["evacuate", "b", "--take-back"],
            zones: &[],
        },
    ];
    for step in steps {
        fake.set_faults(Faults {
            lost_response_count: 1,
            ..Faults::default()
        });
        let arguments = [step.arguments, &["--platform", &platform]].concat();
        let ran = ctl(&arguments).await;
        assert_eq!(ran.code, 0, "{}{}", ran.output, ran.errors);
        let expected = match step.zones {
            [] => "none".to_owned(),
            zones => zones.join(", "),
        };
        let text = format!("evacuated zones: {expected} (version");
        assert!(ran.output.contains(&text), "{}", ran.output);
        let (_, content) = fake.get("evacuations");
        let held = Evacuations::read(&content).expect("a list of zones");
        assert!(held.zones.iter().eq(step.zones.iter()), "{:?}", held.zones);
    }
}
