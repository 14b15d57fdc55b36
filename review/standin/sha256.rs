//! SHA-256, for the digests that the origin hands out.

fn constants(count: usize) -> Vec<(u32, u32)> {
    let is_prime = |n: &u32| (2..*n).take_while(|d| d * d <= *n).all(|d| n % d != 0);
    let fraction = |root: f64| ((root - root.floor()) * 4_294_967_296.0) as u32;
    let primes = (2u32..).filter(is_prime).take(count);
    primes
        .map(|p| (fraction(f64::from(p).sqrt()), fraction(f64::from(p).cbrt())))
        .collect()
}

/// Digest in hexadecimal.
pub fn sha256(data: &[u8]) -> String {
    let constants = constants(64);
    let mut hash: Vec<u32> = constants[..8].iter().map(|(root, _)| *root).collect();
    let mut padded = data.to_vec();
    padded.push(0x80);
    padded.resize(padded.len().next_multiple_of(64), 0);
    if padded.len() - data.len() < 9 {
        padded.resize(padded.len() + 64, 0);
    }
    let at = padded.len() - 8;
    padded[at..].copy_from_slice(&(data.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut w: Vec<u32> = block
            .chunks(4)
            .map(|word| u32::from_be_bytes([word[0], word[1], word[2], word[3]]))
            .collect();
        for i in 16..64 {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w.push(
                w[i - 16]
                    .wrapping_add(s0)
                    .wrapping_add(w[i - 7])
                    .wrapping_add(s1),
            );
        }
        let mut v = hash.clone();
        for (word, (_, constant)) in w.iter().zip(&constants) {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7]
                .wrapping_add(s1)
                .wrapping_add(choice)
                .wrapping_add(*constant);
            let t1 = t1.wrapping_add(*word);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let t2 = s0.wrapping_add(majority);
            v.rotate_right(1);
            v[4] = v[4].wrapping_add(t1);
            v[0] = t1.wrapping_add(t2);
        }
        for (sum, part) in hash.iter_mut().zip(v) {
            *sum = sum.wrapping_add(part);
        }
    }
    hash.iter().map(|word| format!("{word:08x}")).collect()
}
