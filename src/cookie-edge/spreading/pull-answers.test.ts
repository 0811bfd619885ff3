import test from 'ava';
import { PULL_ANSWER_TIMEOUT_MS, PULL_SAMPLE_MS } from './constants.js';
import { PullAnswers } from './pull-answers.js';

test('without pulls, and before an answer can be expected, every daemon counts as reachable', (t) => {
  const answers = new PullAnswers();
  t.is(answers.answeredShare(0), 1);
  answers.recordPull('a', 0);
  t.is(answers.answeredShare(PULL_ANSWER_TIMEOUT_MS - 1), 1);
});

test('the share counts answered and unanswered pulls, not messages of other peers', (t) => {
  const answers = new PullAnswers();
  for (const peer of ['a', 'b', 'c', 'd']) answers.recordPull(peer, 0);
  answers.recordMessage('a');
  answers.recordMessage('e');
  t.is(answers.answeredShare(PULL_ANSWER_TIMEOUT_MS - 1), 1);
  t.is(answers.answeredShare(PULL_ANSWER_TIMEOUT_MS), 0.25);
  answers.recordMessage('b');
  t.is(answers.answeredShare(PULL_ANSWER_TIMEOUT_MS), 0.5);
});

test('old pulls do not count', (t) => {
  const answers = new PullAnswers();
  answers.recordPull('a', 0);
  answers.recordPull('b', PULL_SAMPLE_MS / 2);
  answers.recordMessage('b');
  t.is(answers.answeredShare(PULL_SAMPLE_MS - 1), 0.5);
  t.is(answers.answeredShare(PULL_SAMPLE_MS), 1);
});
