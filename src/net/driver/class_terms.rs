//! Terms of new messages: which classes clients may name, and under which terms a message is
//! accepted while a new configuration takes effect.

use super::Driver;
use crate::net;
use crate::net::class_terms_file::ClassTermsFile;
use crate::net::events::Submission;
use crate::net::server::ClassEntry;
use message_sender::class_transition::{ClassSet, ClassTransition, MessageTerms, NamedClass};
use message_sender::{Class, Event, Micros, Settings};
use tokio::time::Instant;

/// Returns the classes of a configuration.
fn class_set(settings: &Settings) -> ClassSet {
    ClassSet {
        classes: settings.classes.clone(),
        max_attempts: settings.max_attempts,
    }
}

/// Class and maximum number of attempts of one message.
pub(super) struct AcceptanceTerms {
    /// Position of the class in the settings of the decision module.
    pub class: usize,
    /// Maximum number of attempts for the message.
    pub max_attempts: usize,
}

/// Terms that may hold for new messages, and the file that keeps them for the next process.
pub(super) struct ClassTerms {
    transition: ClassTransition,
    file: ClassTermsFile,
}

impl ClassTerms {
    /// Continues the terms that an earlier process has stored. Without any, those of the
    /// configuration with which this process starts hold, and are stored.
    pub fn restore(
        file: ClassTermsFile,
        stored: Option<ClassTransition>,
        settings: &Settings,
    ) -> Self {
        let transition = stored.unwrap_or_else(|| {
            let transition = ClassTransition::new(class_set(settings));
            file.write(&transition);
            transition
        });
        ClassTerms { transition, file }
    }

    fn change(&mut self, new: &Settings, now: Micros) {
        if self.transition.change(class_set(new), now) {
            self.file.write(&self.transition);
            net::log(format_args!(
                "classes: terms changed; messages get the strictest of the old and the new ones for now"
            ));
        }
    }
}

impl Driver {
    /// Changes the terms of new messages to those of a configuration.
    pub(super) fn change_class_terms(&mut self, new: &Settings) {
        let now = self.clock.at(Instant::now());
        self.class_terms.change(new, now);
    }

    /// Ends earlier terms that can no longer hold for new messages.
    pub(super) fn end_expired_class_terms(&mut self) {
        let now = self.clock.at(Instant::now());
        if self.class_terms.transition.end_expired(now) {
            net::log(format_args!("classes: earlier terms have ended"));
            let known_classes = self.settings.classes.len();
            self.replace_named_classes();
            self.push_added_classes(known_classes);
        }
    }

    /// Sets the classes that requests of clients may name. Adds those with terms that the settings
    /// do not have yet.
    pub(super) fn replace_named_classes(&mut self) {
        let now = self.clock.at(Instant::now());
        let named = self.class_terms.transition.named_classes(now);
        let entry = |named: NamedClass| ClassEntry {
            name: named.class.name.clone(),
            index: self.position_of_class(named.class),
            key_required: named.key_required,
        };
        let entries = named.into_iter().map(entry).collect();
        self.process.classes.replace(entries);
    }

    /// Returns the terms for a message whose client's request began at `received_at`, in
    /// microseconds. A class that no configuration names any more, but which its request could
    /// still name, keeps the terms by which the request was read.
    pub(super) fn acceptance_terms(
        &mut self,
        submission: &Submission,
        received_at: Micros,
    ) -> AcceptanceTerms {
        let Some(class) = self.settings.classes.get(submission.class).cloned() else {
            return AcceptanceTerms {
                class: submission.class,
                max_attempts: self.settings.max_attempts,
            };
        };
        let terms = self.class_terms.transition.terms(&class.name, received_at);
        let terms = terms.unwrap_or(MessageTerms {
            class,
            max_attempts: self.settings.max_attempts,
        });
        let terms = match submission.key {
            Some(_) => terms,
            None => terms.without_idempotency_key(),
        };
        let known_classes = self.settings.classes.len();
        let position = self.position_of_class(terms.class);
        self.push_added_classes(known_classes);
        AcceptanceTerms {
            class: position,
            max_attempts: terms.max_attempts,
        }
    }

    /// Returns the position of a class with these terms, and adds the class if it is missing.
    fn position_of_class(&mut self, class: Class) -> usize {
        let known = self.settings.classes.len();
        let position = self.settings.class_position(class);
        if position == known {
            let classes = self.settings.classes.iter();
            self.names.classes = classes.map(|class| class.name.clone()).collect();
        }
        position
    }

    /// Passes the settings to the decision module if they have more than `known_classes` now.
    fn push_added_classes(&mut self, known_classes: usize) {
        if self.settings.classes.len() > known_classes {
            self.push_settings();
        }
    }

    /// Passes the settings to the decision module.
    pub(super) fn push_settings(&mut self) {
        let settings = Box::new(self.settings.clone());
        self.events.push(Event::SettingsChanged(settings));
    }
}
