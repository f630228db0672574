//! News to pass on, each so often and then no more: SWIM's infection-style dissemination (section IV-A).

use std::collections::BTreeMap;

/// A member's record, or one observer's suspicion of it.
pub type Topic = (String, Option<String>);

/// What is still to be passed on.
#[derive(Debug, Default, Clone)]
pub struct Gossip {
    /// How often each has gone out, and its age by number.
    topics: BTreeMap<Topic, (u32, u64)>,
    next: u64,
}

impl Gossip {
    /// There is news of a member; what went out before it is no news any more.
    pub fn tell(&mut self, name: &str) {
        self.forget(name);
        self.add((name.to_string(), None));
    }

    /// An observer suspects a member.
    pub fn suspect(&mut self, name: &str, observer: &str) {
        self.add((name.to_string(), Some(observer.to_string())));
    }

    fn add(&mut self, topic: Topic) {
        self.next += 1;
        self.topics.insert(topic, (0, self.next));
    }

    /// No news of the member is passed on.
    pub fn forget(&mut self, name: &str) {
        let from = (name.to_string(), None);
        let ours: Vec<Topic> = self
            .topics
            .range(from..)
            .take_while(|(topic, _)| topic.0 == name)
            .map(|(topic, _)| topic.clone())
            .collect();
        for topic in &ours {
            self.topics.remove(topic);
        }
    }

    /// The topics, those first that went out least, of these the newest.
    pub fn order(&self) -> Vec<Topic> {
        let mut order: Vec<_> = self.topics.iter().collect();
        order.sort_by_key(|(_, (sent, age))| (*sent, u64::MAX - age));
        order.into_iter().map(|(topic, _)| topic.clone()).collect()
    }

    /// A topic has gone out, and is over after so many times.
    pub fn sent(&mut self, topic: &Topic, most: u32) {
        if let Some((sent, _)) = self.topics.get_mut(topic) {
            *sent += 1;
            if *sent >= most {
                self.topics.remove(topic);
            }
        }
    }

    #[cfg(test)]
    fn len(&self) -> usize {
        self.topics.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn news_goes_out_so_often_the_least_sent_first() {
        let mut gossip = Gossip::default();
        gossip.tell("a");
        gossip.tell("b");
        assert_eq!(gossip.order()[0].0, "b", "the newest");
        gossip.sent(&("b".to_string(), None), 2);
        assert_eq!(gossip.order()[0].0, "a", "the least sent");
        gossip.sent(&("b".to_string(), None), 2);
        assert_eq!(gossip.len(), 1);
    }

    #[test]
    fn newer_news_takes_the_place_of_older() {
        let mut gossip = Gossip::default();
        gossip.tell("a");
        gossip.suspect("a", "x");
        gossip.suspect("a", "y");
        gossip.suspect("ab", "y");
        assert_eq!(gossip.len(), 4);
        gossip.tell("a");
        assert_eq!(gossip.len(), 2);
    }
}
